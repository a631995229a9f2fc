#pragma once

#include "foxtailring/base/ErrorCode.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief How an attempt ended.
struct AttemptEnd
{
    bool finished = false;                ///< the answer is complete
    std::uint64_t nextOffset = 0;         ///< tokens of the answer when the attempt ended
    std::string reason;                   ///< finish reason, or the message of the failure
    ErrorCode code = ErrorCode::Internal; ///< meaningful when not finished
};

} // namespace foxtailring
