#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief Action: send a call once. Reply with onCallFinished(), onCallNotSent() or onCallLost().
struct SendCall
{
    std::uint64_t callId = 0;
    std::uint32_t bucket = 0;
    std::string key;
    std::string claimId;
    TimePoint deadline;
};

} // namespace foxtailring
