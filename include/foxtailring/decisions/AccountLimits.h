#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Limits of a client account over all entries, from its resource.
struct AccountLimits
{
    std::uint32_t maxConcurrent = 0; ///< 0: no limit
    double requestsPerSecond = 0;    ///< 0: no limit
};

} // namespace foxtailring
