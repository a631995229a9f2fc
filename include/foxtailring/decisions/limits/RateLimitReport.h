#pragma once

#include <string>
#include <vector>

namespace foxtailring {

/// \brief What one process tells the others about the rate limits that backend servers named.
struct RateLimitReport
{
    struct Entry
    {
        std::string serverId;
        double limit = 0;  ///< requests per second from all processes together
        double demand = 0; ///< requests per second that this process would send without a limit
    };

    std::vector<Entry> entries; ///< sorted by server id
};

} // namespace foxtailring
