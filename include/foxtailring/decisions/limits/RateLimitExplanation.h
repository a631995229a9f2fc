#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace foxtailring {

/// \brief Why a request may or may not be sent to a server that named a rate limit.
struct RateLimitExplanation
{
    double limit = 0;        ///< requests per second from all processes together
    Duration limitAge {0};   ///< since this process last had evidence of it
    std::uint32_t quota = 0; ///< requests of this process in any \a window
    Duration window {0};
    std::size_t recent = 0;    ///< requests of this process in the last window
    std::size_t processes = 0; ///< processes that the limit is divided by
    bool isShareKnown = false; ///< false: divided by an assumed number of processes
};

} // namespace foxtailring
