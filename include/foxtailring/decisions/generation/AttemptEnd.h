#pragma once

#include "foxtailring/base/ErrorCode.h"

#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief The outcome of one attempt at a generation.
struct AttemptEnd
{
    bool finished = false;                ///< the output is complete
    std::uint64_t nextOffset = 0;         ///< number of tokens in the output so far
    std::string reason;                   ///< finish reason, or the error message
    ErrorCode code = ErrorCode::Internal; ///< valid only if not finished
};

} // namespace foxtailring
