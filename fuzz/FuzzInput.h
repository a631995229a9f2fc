#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace foxtailring {

/// \brief The input of a fuzzer, taken apart line by line.
class FuzzInput
{
public:
    FuzzInput(const std::uint8_t *data, std::size_t size)
        : m_rest(reinterpret_cast<const char *>(data), size)
    {
    }

    bool isEmpty() const { return m_rest.empty(); }
    std::string_view rest() const { return m_rest; }
    /// \brief Removes and returns the next line, without its end.
    std::string_view takeLine()
    {
        const std::size_t end = m_rest.find('\n');
        const std::string_view line = m_rest.substr(0, end);
        m_rest.remove_prefix(end == std::string_view::npos ? m_rest.size() : end + 1);
        return line;
    }

private:
    std::string_view m_rest;
};

/// \brief Ends the fuzzer with a report if \a condition does not hold.
inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace foxtailring
