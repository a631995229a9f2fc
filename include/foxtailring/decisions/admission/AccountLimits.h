#pragma once

#include <cstdint>

namespace foxtailring {

/// \brief Limits of a client account, summed over all entries; read from its ClientAccount
/// resource.
struct AccountLimits
{
    std::uint32_t maxConcurrent = 0; ///< 0: no limit
    double requestsPerSecond = 0;    ///< 0: no limit
};

} // namespace foxtailring
