#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief State of the peer of a stream.
enum class Liveness : std::uint8_t {
    Alive,
    Suspected, ///< silent, or its stream was reset; reattaching is being tried
    Lost,
};

} // namespace foxtailring
