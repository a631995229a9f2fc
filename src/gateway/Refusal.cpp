#include "Refusal.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

std::string_view titleOf(int status)
{
    switch (status) {
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Error";
    }
}

std::string secondsText(std::chrono::milliseconds time)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(time).count());
    return text;
}

} // namespace

HttpResponse refusalResponse(std::string_view requestId, const Refuse &refusal)
{
    const nlohmann::json body = {{"type", "about:blank"},
                                 {"title", titleOf(refusal.status)},
                                 {"status", refusal.status},
                                 {"cause", refusal.cause},
                                 {"request", requestId}};
    HttpResponse response;
    response.status = refusal.status;
    response.headers = {{"Content-Type", "application/problem+json"}};
    if (refusal.retryAfter.count() > 0)
        response.headers.push_back({"Retry-After", secondsText(refusal.retryAfter)});
    response.body = body.dump();
    return response;
}

} // namespace foxtailring
