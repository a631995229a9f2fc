#pragma once

#include <cstdint>
#include <optional>

namespace foxtailring {

/// \brief What a backend server says of its load with an answer. Each figure is none if the server
/// does not give it, or if it cannot be read.
struct LoadFigures
{
    std::optional<std::uint32_t> running;
    std::optional<std::uint32_t> waiting;
    std::optional<std::uint32_t> slots;
    /// How long work takes there at this moment; 1: as long as usual.
    std::optional<double> relativeDuration;
    std::uint32_t unreadableCount = 0; ///< figures that are given but cannot be read
};

} // namespace foxtailring
