#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Load of a backend server.
struct BackendLoad
{
    std::uint32_t running = 0;  ///< generations or calls in progress
    std::uint32_t waiting = 0;  ///< queued
    std::uint32_t capacity = 0; ///< most that run at once; 0: not known
};

} // namespace foxtailring
