#pragma once

#include "foxtailring/protocol/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief The end of a call for the one who submitted it.
struct AnswerCall
{
    std::uint64_t callId = 0;
    Outcome outcome = Outcome::Unknown;
    std::uint32_t status = 0;          ///< HTTP status when done; 409: the key has another body
    std::optional<std::string> answer; ///< when done; not set when it is no longer kept
    std::string message;               ///< reason when not done
    bool mayRetry = false; ///< this attempt was not run; the same key may be submitted again
};

} // namespace foxtailring
