#pragma once

#include <iosfwd>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief The story of one request, from the log lines of many processes.
///
/// Keeps the lines of the request and, for each node that handled it, the latest line before it
/// that changed what the node believed of the store, the configuration or a server in the story.
/// Says which nodes never ended the request, and whether their process was replaced.
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string requestId);

    /// \brief Takes one line. Whatever stands before its first brace is kept as a prefix; a line
    /// that is no JSON object is left out and counted.
    void addLine(std::string_view line);
    /// \brief Writes the story in the order of the lines' times; false when no line names the
    /// request.
    bool print(std::ostream &out) const;

private:
    struct Line
    {
        std::string time;
        std::string node;
        std::string event;
        std::string subject; ///< server or dependency that the state is about
        std::string text;
        std::size_t sequence = 0;
    };

    /// What became of the request at \a node when none of its lines is the request's end; else
    /// none.
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
