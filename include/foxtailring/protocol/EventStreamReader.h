#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Splits a text/event-stream into complete events.
///
/// Skips comments. Buffers the bytes after the last blank line, so that a partial event is never
/// passed on.
class EventStreamReader
{
public:
    /// \param id the event's `id` field; none when it is missing or not a number
    /// \param text the event as received, including its blank line
    using EventHook = std::function<void(std::optional<std::int64_t> id, std::string_view text)>;

    /// \brief Calls \a hook for each completed event. False when an event exceeds 1 MiB.
    bool feed(std::string_view bytes, const EventHook &hook);
    bool hasPartialEvent() const { return !m_pending.empty(); }
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    std::string m_pending;
    std::size_t m_searchedBytes = 0; ///< bytes of m_pending known to hold no end of an event
};

} // namespace foxtailring
