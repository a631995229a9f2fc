#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Load that a backend server told with an answer or when it was asked.
struct BackendLoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t prefilling = 0;        ///< runs whose prompt is still read; part of \a running
    std::uint64_t memoryUsedTokens = 0;  ///< tokens that cannot be given up; 0 when not told
    std::uint64_t memoryTotalTokens = 0; ///< tokens; 0 when not told
};

} // namespace foxtailring
