#include "Refusal.h"

#include "foxtailring/transport/StatusTitle.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

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
                                 {"title", statusTitle(refusal.status)},
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
