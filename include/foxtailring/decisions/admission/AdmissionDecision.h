#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/ErrorCode.h"

#include <cstdint>
#include <string>
#include <variant>

namespace foxtailring {

using Ticket = std::uint64_t;

/// \brief The request may start now. Pass its ticket to release() when it ends.
struct Admitted
{
    Ticket ticket = 0;
};

/// \brief The request waits until startReady() or expire() returns its ticket.
struct Queued
{
    Ticket ticket = 0;
    Duration expectedWait {};
};

/// \brief The request was not run.
///
/// LimitExceeded: above the account's request rate. Overloaded: it cannot start in time.
/// Unavailable: the service has no capacity at all. Timeout: its deadline has passed already.
struct AdmissionRefusal
{
    ErrorCode code = ErrorCode::Overloaded;
    Duration retryAfter {};
    std::string message;
};

/// \brief A queued ticket that can no longer start in time. It needs no release().
struct ExpiredTicket
{
    Ticket ticket = 0;
    AdmissionRefusal refusal;
};

using AdmissionDecision = std::variant<Admitted, Queued, AdmissionRefusal>;

} // namespace foxtailring
