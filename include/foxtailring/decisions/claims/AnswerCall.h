#pragma once

#include "foxtailring/protocol/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief Action: return the result of a call to its submitter.
struct AnswerCall
{
    std::uint64_t callId = 0;
    Outcome outcome = Outcome::Unknown;
    std::uint32_t status = 0; ///< HTTP status if done; 409: the key belongs to another request
    std::optional<std::string> answer; ///< if done; not set when it is no longer stored
    std::string message;               ///< reason if not done
    bool mayRetry = false;             ///< this attempt did not run; the key may be submitted again
};

} // namespace foxtailring
