#include "Replies.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

constexpr const char *retryAfterSeconds = "2";

int statusForError(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
    case ErrorCode::Malformed:
        return 400;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
        return 409;
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::Timeout:
    case ErrorCode::Closed:
        return 504;
    default:
        return 500;
    }
}

} // namespace

HttpResponse jsonReply(int status, const nlohmann::json &body)
{
    return HttpResponse {status, {{"content-type", "application/json"}}, body.dump()};
}

HttpResponse problemReply(const Error &error)
{
    return problemReply(error, statusForError(error.code));
}

HttpResponse problemReply(const Error &error, int status)
{
    const nlohmann::json body = {{"type", "about:blank"},
                                 {"title", errorCodeName(error.code)},
                                 {"status", status},
                                 {"detail", error.message}};
    HttpResponse response {status, {{"content-type", "application/problem+json"}}, body.dump()};
    if (status == 503 || status == 504)
        response.headers.push_back({"retry-after", retryAfterSeconds});
    return response;
}

} // namespace foxtailring
