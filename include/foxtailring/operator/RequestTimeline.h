#pragma once

#include <iosfwd>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Timeline of one request, assembled from the log lines of several processes.
///
/// Keeps the lines of the request. For each node that handled it, also keeps the latest earlier
/// lines about the state of its store connection, its configuration and the servers that the
/// request's lines name. Reports the nodes that logged no end of the request, and whether their
/// process was restarted.
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string requestId);

    /// \brief Parses one line. Text before the first brace, such as a log collector's prefix, is
    /// ignored; a line without a brace is skipped, and one with malformed JSON is skipped and
    /// counted.
    void addLine(std::string_view line);
    /// \brief Writes the lines in time order. Returns false when no line names the request.
    bool print(std::ostream &out) const;

private:
    struct Line
    {
        std::string time;
        std::string node;
        std::string event;
        std::string subject; ///< server that the line is about; empty for the node itself
        std::string text;
        std::size_t sequence = 0;
    };

    /// The line to print when \a node logged no end of the request; none when it did.
    std::optional<Line> unfinishedLine(const std::string &node) const;
    std::vector<Line> stateBefore(const Line &first, const std::set<std::string> &serverIds) const;

    const std::string m_requestId;
    std::vector<Line> m_requestLines;
    std::set<std::string> m_serverIds; ///< servers that the request's lines name
    std::vector<Line> m_stateLines;
    std::size_t m_unreadableCount = 0;
    std::size_t m_lineCount = 0;
};

} // namespace foxtailring
