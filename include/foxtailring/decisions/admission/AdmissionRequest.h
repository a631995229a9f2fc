#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/admission/AccountLimits.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief A request that asks for admission.
struct AdmissionRequest
{
    std::string account;
    std::string service;
    AccountLimits limits;                  ///< of the account, from the current configuration
    std::uint32_t priority = 5;            ///< 0 is the highest, 9 the lowest
    TimePoint deadline = TimePoint::max(); ///< max: none
};

} // namespace foxtailring
