#include "ForwardSessionFactory.h"

#include "foxtailring/decisions/configuration/RouteTable.h"
#include "foxtailring/decisions/sessions/CallSession.h"
#include "foxtailring/decisions/sessions/ForwardRequest.h"
#include "foxtailring/gateway/GatewayRequest.h"

#include <algorithm>

namespace foxtailring {

ForwardSessionFactory::ForwardSessionFactory(const RouteTable &table, const HttpRoute &route)
    : m_table(table)
    , m_route(route)
{
}

std::unique_ptr<ForwardSession> ForwardSessionFactory::make(const GatewayRequest &request,
                                                            TimePoint arrivedAt,
                                                            const ForwardContext &context) const
{
    const ForwardRequest forwarded = forwardRequest(request, arrivedAt);
    if (m_route.kind != CallKind::Stream)
        return std::make_unique<CallSession>(m_route, forwarded, context);
    return std::make_unique<StreamSession>(m_route, forwarded, context, capabilities());
}

ForwardRequest ForwardSessionFactory::forwardRequest(const GatewayRequest &request,
                                                     TimePoint arrivedAt) const
{
    ForwardRequest forwarded;
    forwarded.arrivedAt = arrivedAt;
    forwarded.callerTimeout = request.timeout;
    forwarded.promptId = request.promptId;
    forwarded.sharedPromptParts = request.sharedPromptParts;
    forwarded.contentDigest = request.contentDigest;
    forwarded.promptTokens = request.promptTokens;
    forwarded.maxOutputTokens = request.maxOutputTokens;
    forwarded.lastEventId = request.lastEventId;
    forwarded.minAttemptTime = request.minAttemptTime;
    forwarded.account = request.account;
    forwarded.urgency = m_table.urgency(m_route, request.apiKey);
    forwarded.bodyBytes = request.http.body.size();
    for (const RouteTarget &target : m_route.targets) {
        if (const RoutedService *service = m_table.service(target.service))
            forwarded.tokensPerEvent = std::max(forwarded.tokensPerEvent, service->tokensPerEvent);
    }
    return forwarded;
}

StreamSession::EngineCapabilities ForwardSessionFactory::capabilities() const
{
    const auto allServices = [this](auto property) {
        return std::all_of(m_route.targets.begin(), m_route.targets.end(),
                           [this, property](const RouteTarget &target) {
                               const RoutedService *service = m_table.service(target.service);
                               return service && property(*service);
                           });
    };
    StreamSession::EngineCapabilities shared;
    shared.canCopyContinuously =
        allServices([](const RoutedService &one) { return one.copiesContinuously; });
    shared.isSingleService = m_table.engineServiceCount() == 1;
    shared.canBeProbed = allServices([](const RoutedService &one) { return one.memoryTokens > 0; });
    shared.canCopyOnDemand =
        allServices([](const RoutedService &one) { return one.copiesOnDemand; });
    return shared;
}

} // namespace foxtailring
