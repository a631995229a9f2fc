#include "foxtailring/protocol/EventStreamReader.h"

#include <algorithm>
#include <charconv>

namespace foxtailring {

namespace {

constexpr std::size_t maxEventBytes = 1024 * 1024;

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isInteger = status == std::errc {} && end == text.data() + text.size();
    return isInteger ? std::optional(number) : std::nullopt;
}

std::optional<std::int64_t> parseId(std::string_view event)
{
    constexpr std::string_view name = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(name))
            continue;
        line.remove_prefix(name.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return parseInteger(line);
    }
    return std::nullopt;
}

// An idle server may send comments as a keep-alive.
bool isComment(std::string_view event)
{
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        const std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.empty() && line != "\r" && !line.starts_with(':'))
            return false;
    }
    return true;
}

// Position after the first blank line at or after \a from; npos when there is none.
std::size_t findEventEnd(std::string_view bytes, std::size_t from)
{
    for (std::size_t newline = bytes.find('\n', from); newline != std::string_view::npos;
         newline = bytes.find('\n', newline + 1)) {
        const std::string_view rest = bytes.substr(newline + 1);
        if (rest.starts_with('\n'))
            return newline + 2;
        if (rest.starts_with("\r\n"))
            return newline + 3;
    }
    return std::string_view::npos;
}

} // namespace

bool EventStreamReader::feed(std::string_view bytes, const EventHook &hook)
{
    m_pending += bytes;
    std::size_t begin = 0;
    // A blank line may start in the last two bytes already searched.
    std::size_t from = m_searchedBytes < 2 ? 0 : m_searchedBytes - 2;
    std::size_t end = 0;
    while ((end = findEventEnd(m_pending, std::max(from, begin))) != std::string::npos) {
        const std::string_view event = std::string_view(m_pending).substr(begin, end - begin);
        if (!isComment(event))
            hook(parseId(event), event);
        begin = end;
    }
    m_pending.erase(0, begin);
    m_searchedBytes = m_pending.size();
    return m_pending.size() <= maxEventBytes;
}

} // namespace foxtailring
