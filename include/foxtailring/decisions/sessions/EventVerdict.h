#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief How an event of a stream follows the events passed on before it.
enum class EventVerdict : std::uint8_t {
    Next,      ///< pass it on
    Duplicate, ///< the caller has it already
    Gap,       ///< events before it are missing
};

} // namespace foxtailring
