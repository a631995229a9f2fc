#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief What is known of the other end of a stream.
enum class Liveness : std::uint8_t {
    Alive,
    Suspected, ///< silent or reset; a new connection is being tried
    Lost,
};

} // namespace foxtailring
