#pragma once

#include "foxtailring/protocol/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief What the platform's service holds about one idempotency key.
struct ClaimRecord
{
    std::string requestHash;             ///< hash of the call; the key is bound to it
    std::string claimId;                 ///< unique to one attempt to run the call
    std::uint64_t incarnation = 0;       ///< sidecar process that made the claim
    std::optional<Outcome> outcome;      ///< not set: claimed, and perhaps sent
    std::uint32_t status = 0;            ///< HTTP status, when done
    std::optional<std::string> answer;   ///< opaque; not set when it was too large or was dropped
    std::int64_t updatedUnixSeconds = 0; ///< Unix seconds of the last change
};

} // namespace foxtailring
