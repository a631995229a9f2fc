#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief One event of a streamed answer.
struct StreamedEvent
{
    std::optional<std::int64_t> id; ///< none: it is missing or not a number
    std::string text;               ///< as received
};

} // namespace foxtailring
