#pragma once

#include "foxtailring/base/ErrorCode.h"

#include <string>

namespace foxtailring {

/// \brief An error code and a message for people that names what failed.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

} // namespace foxtailring
