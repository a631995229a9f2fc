#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Finds a caller's stop sequences in text that arrives in parts.
class StopScanner
{
public:
    explicit StopScanner(std::vector<std::string> stopSequences);

    void feed(std::string_view text);
    /// \brief True once a stop sequence was found, even one that spans several parts.
    bool found() const { return m_found; }

private:
    std::vector<std::string> m_stopSequences;
    std::size_t m_maxStopBytes = 0; ///< size of the longest stop sequence
    std::string m_tail;             ///< last bytes of the text, at most m_maxStopBytes - 1
    bool m_found = false;
};

} // namespace foxtailring
