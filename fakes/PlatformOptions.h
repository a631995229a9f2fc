#pragma once

#include <chrono>
#include <cstddef>

namespace foxtailring::fakes {

/// \brief Settings of the platform stand-in.
struct PlatformOptions
{
    std::size_t historyEvents = 10'000;  ///< changes kept for watches
    std::chrono::milliseconds vmLag {0}; ///< delay until GET /v1/vms shows a change
    double weightsPerSecond = 10.0;
    double weightsBurst = 2.0;
};

} // namespace foxtailring::fakes
