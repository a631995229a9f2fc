#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/transport/HttpRequest.h"

#include <memory>

namespace foxtailring {

class Http1Responder;
struct CallerRequest;
struct GatewayParts;

/// \brief Takes callers' requests: route, key, and the relay that serves them.
class CallerIntake
{
public:
    explicit CallerIntake(GatewayParts &parts);

    /// \brief Thread-safe.
    void handle(HttpRequest request, std::shared_ptr<Http1Responder> responder);

    /// \brief New requests are refused from now on. On the queue.
    void refuseNew() { m_refusesNew = true; }
    /// \brief Configuration and servers are known and keys can be checked. On the queue.
    bool isServing() const;

private:
    void take(HttpRequest request, std::shared_ptr<Http1Responder> responder, TimePoint arrivedAt);
    void serve(CallerRequest request, std::shared_ptr<Http1Responder> responder,
               TimePoint arrivedAt);

    GatewayParts &m_parts;
    bool m_refusesNew = false;
};

} // namespace foxtailring
