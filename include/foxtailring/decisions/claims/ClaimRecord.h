#pragma once

#include "foxtailring/protocol/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief Claim of one idempotency key, as stored in the platform's key-value service.
struct ClaimRecord
{
    std::string requestHash;             ///< the key is valid for this request only
    std::string claimId;                 ///< identifies one attempt to run the call
    std::uint64_t incarnation = 0;       ///< of the sidecar process that made the claim
    std::optional<Outcome> outcome;      ///< not set: claimed, possibly sent
    std::uint32_t status = 0;            ///< HTTP status if done
    std::optional<std::string> answer;   ///< opaque; not set if too large or dropped
    std::int64_t updatedUnixSeconds = 0; ///< time of the last update
};

} // namespace foxtailring
