#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief A keyed non-idempotent call that is to run once.
struct ClaimRequest
{
    std::uint64_t callId = 0; ///< names the call in actions; unique within the process
    std::uint32_t bucket = 0;
    std::string key;         ///< see claimKey()
    std::string requestHash; ///< hash of everything that is sent
    TimePoint deadline;
    bool mayRun = true; ///< false: only answered from what is known here
};

} // namespace foxtailring
