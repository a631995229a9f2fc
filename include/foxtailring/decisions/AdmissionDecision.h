#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/ErrorCode.h"

#include <cstdint>
#include <string>
#include <variant>

namespace foxtailring {

using Ticket = std::uint64_t;

/// \brief The request may start now; release() its ticket when it ends.
struct Admitted
{
    Ticket ticket = 0;
};

/// \brief The request waits until startReady() or expire() names its ticket.
struct Queued
{
    Ticket ticket = 0;
    Duration expectedWait {};
};

/// \brief The request was not run. LimitExceeded: the account's limit; Overloaded: short capacity;
/// Unavailable: the service has no capacity at all.
struct AdmissionRefusal
{
    ErrorCode code = ErrorCode::Overloaded;
    Duration retryAfter {};
    std::string message;
};

/// \brief A ticket that waited and is given up on; it needs no release().
struct ExpiredTicket
{
    Ticket ticket = 0;
    AdmissionRefusal refusal;
};

using AdmissionDecision = std::variant<Admitted, Queued, AdmissionRefusal>;

} // namespace foxtailring
