#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Splits the bytes of a text/event-stream into whole events.
///
/// Comments are left out. Bytes after the last blank line are held back, so that an event of which
/// only a part arrived is never passed on.
class EventStreamReader
{
public:
    /// \param id value of the event's `id` field; none when it has none or it is not a number
    /// \param text the event with its final blank line, as it came
    using EventHook = std::function<void(std::optional<std::int64_t> id, std::string_view text)>;

    /// \brief False when an event is above the limit of 1 MiB.
    bool feed(std::string_view bytes, const EventHook &hook);
    /// \brief Part of an event was received and not its end.
    bool hasPartialEvent() const { return !m_pending.empty(); }
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    std::string m_pending;
    std::size_t m_searched = 0; ///< bytes of m_pending in which no event ends
};

} // namespace foxtailring
