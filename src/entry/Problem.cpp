#include "foxtailring/entry/Problem.h"

#include "foxtailring/transport/StatusTitle.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

Problem Problem::of(Error error, std::string_view outcome, std::chrono::milliseconds retryAfter,
                    std::chrono::milliseconds fallback)
{
    Problem out {std::move(error), std::string(outcome), retryAfter};
    const bool mayPass = out.status() == 429 || out.status() > 500;
    if (mayPass && out.retryAfter.count() == 0)
        out.retryAfter = fallback;
    return out;
}

int Problem::status() const
{
    switch (error.code) {
    case ErrorCode::InvalidArgument:
    case ErrorCode::Malformed:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::Forbidden:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
        return 422;
    case ErrorCode::LimitExceeded:
        return 429;
    case ErrorCode::Overloaded:
    case ErrorCode::Draining:
    case ErrorCode::Stale:
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::Timeout:
        return 504;
    case ErrorCode::Closed:
    case ErrorCode::EngineFailed:
    case ErrorCode::EngineSilent:
    case ErrorCode::Incomplete:
        return 502;
    case ErrorCode::Internal:
        break;
    }
    return 500;
}

std::string Problem::json() const
{
    nlohmann::ordered_json body;
    body["type"] = "urn:foxtailring:problem:" + std::string(errorCodeName(error.code));
    body["title"] = statusTitle(status());
    body["status"] = status();
    body["detail"] = error.message;
    body["outcome"] = outcome;
    if (retryAfter.count() > 0)
        body["retryAfterMs"] = retryAfter.count();
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse Problem::response() const
{
    HttpResponse out {status(), {{"Content-Type", "application/problem+json"}}, json()};
    if (retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
        out.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    if (status() == 401)
        out.headers.push_back({"WWW-Authenticate", "Bearer"});
    return out;
}

} // namespace foxtailring
