#include "foxtailring/base/ErrorCode.h"

namespace foxtailring {

std::string_view errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unauthorized:
        return "unauthorized";
    case ErrorCode::Forbidden:
        return "forbidden";
    case ErrorCode::LimitExceeded:
        return "limit_exceeded";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::Draining:
        return "draining";
    case ErrorCode::Stale:
        return "stale";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Closed:
        return "closed";
    case ErrorCode::EngineFailed:
        return "engine_failed";
    case ErrorCode::EngineSilent:
        return "engine_silent";
    case ErrorCode::Incomplete:
        return "answer_incomplete";
    case ErrorCode::Malformed:
        return "malformed";
    case ErrorCode::Internal:
        break;
    }
    return "internal";
}

} // namespace foxtailring
