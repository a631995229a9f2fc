#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"
#include "foxtailring/decisions/sessions/StreamSession.h"

#include <memory>

namespace foxtailring {

class RouteTable;
struct ForwardRequest;
struct GatewayRequest;
struct HttpRoute;

/// \brief Makes the sessions that decide about the requests to one route.
class ForwardSessionFactory
{
public:
    /// \param table owns \a route; both must outlive the sessions
    ForwardSessionFactory(const RouteTable &table, const HttpRoute &route);

    /// \brief A StreamSession if the route answers with events, else a CallSession.
    std::unique_ptr<ForwardSession> make(const GatewayRequest &request, TimePoint arrivedAt,
                                         const ForwardContext &context) const;

private:
    ForwardRequest forwardRequest(const GatewayRequest &request, TimePoint arrivedAt) const;
    /// What all services of the route support.
    StreamSession::EngineCapabilities capabilities() const;

    const RouteTable &m_table;
    const HttpRoute &m_route;
};

} // namespace foxtailring
