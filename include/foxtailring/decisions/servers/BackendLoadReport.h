#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Load that a backend server reported with an answer or in reply to a probe.
struct BackendLoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t prefilling = 0;        ///< runs in prompt processing; included in \a running
    std::uint64_t memoryUsedTokens = 0;  ///< tokens that cannot be evicted; 0: not reported
    std::uint64_t memoryTotalTokens = 0; ///< 0: not reported
};

} // namespace foxtailring
