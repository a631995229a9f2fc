#include "BodyTimeLimit.h"

#include "foxtailring/decisions/configuration/RouteTable.h"
#include "foxtailring/gateway/BackendCodec.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A request without a route is refused when it is complete. None of the configured ones may take
// longer than this.
milliseconds longestTimeout(const RouteTable &routes)
{
    milliseconds longest {0};
    for (const HttpRoute &route : routes.config().routes)
        longest = std::max(longest, route.timeout);
    return longest;
}

milliseconds routeTimeout(const RouteTable &routes, const Result<GatewayRequest> &request)
{
    const HttpRoute *route =
        request ? routes.route(request.value().host, request.value().path) : nullptr;
    return route ? route->timeout : longestTimeout(routes);
}

} // namespace

BodyTimeLimit::BodyTimeLimit(const BackendCodec &codec)
    : m_codec(codec)
{
}

void BodyTimeLimit::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    const std::lock_guard lock(m_mutex);
    m_routes = std::move(routes);
}

std::optional<milliseconds> BodyTimeLimit::limit(const HttpRequest &head) const
{
    std::shared_ptr<const RouteTable> routes;
    {
        const std::lock_guard lock(m_mutex);
        routes = m_routes;
    }
    const auto request = m_codec.decodeRequest(head);
    const auto patience = request ? request.value().timeout : std::nullopt;
    if (!routes || routes->config().routes.empty())
        return patience;
    const milliseconds timeout = routeTimeout(*routes, request);
    return std::min(patience.value_or(timeout), timeout);
}

} // namespace foxtailring
