#pragma once

#include "foxtailring/base/ErrorCode.h"

#include <string>

namespace foxtailring {

/// \brief A failure: its code and a message for people that names the thing at fault.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string message;
};

} // namespace foxtailring
