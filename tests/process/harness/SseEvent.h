#pragma once

#include <optional>
#include <string>

namespace foxtailring::harness {

/// \brief One server-sent event.
struct SseEvent
{
    std::string id;
    std::string type; ///< value of the field `event`
    std::string data; ///< lines joined by line feeds
    std::string retry;

    /// \brief Parses the fields of one event; nothing when it holds only comments.
    static std::optional<SseEvent> parse(const std::string &text);
};

} // namespace foxtailring::harness
