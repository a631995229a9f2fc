#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/rollouts/RolloutFleet.h"
#include "foxtailring/decisions/servers/BackendInfo.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

struct RolloutStatus;

/// \brief What roll-outs need to know of the process that they run in.
struct RolloutEnvironment
{
    /// Servers of a service that accept new requests.
    std::function<std::vector<BackendInfo>(std::string_view service, TimePoint now)> servers;
    std::function<RolloutFleet(std::string_view service)> fleet;
    /// Time since the store confirmed that every change so far was delivered; none: it never did.
    std::function<std::optional<Duration>(TimePoint now)> storeAge;
    /// Unix time of \a now.
    std::function<std::chrono::milliseconds(TimePoint now)> unixTime;
    /// A number from 0 to 1.
    std::function<double()> random;
    /// An order, or none, is in force for the service; may be empty.
    std::function<void(const std::string &service, const std::string &version, bool isTrial)>
        onOrder;
    /// The state or the share changed, or this gateway stopped to use a version; may be empty.
    std::function<void(const std::string &service, const RolloutStatus &, std::string_view cause)>
        onStep;
};

} // namespace foxtailring
