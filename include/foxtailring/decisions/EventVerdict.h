#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief How an event of a stream fits those that were passed on before.
enum class EventVerdict : std::uint8_t {
    Next,      ///< to be passed on
    Duplicate, ///< the caller has it already
    Gap,       ///< events before it are missing
};

} // namespace foxtailring
