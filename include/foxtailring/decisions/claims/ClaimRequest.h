#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief A non-idempotent call with an idempotency key, to be run at most once.
struct ClaimRequest
{
    std::uint64_t callId = 0; ///< identifies the call in actions; unique within the process
    std::uint32_t bucket = 0;
    std::string key;         ///< see claimKey()
    std::string requestHash; ///< hash of method, target and body
    TimePoint deadline;
    bool mayRun = true; ///< false: answer only from what this process knows
};

} // namespace foxtailring
