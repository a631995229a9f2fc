#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/DrainIntake.h"
#include "foxtailring/transport/HttpRequest.h"

#include "GatewayParts.h"

#include <memory>

namespace foxtailring {

class Http1Responder;
struct CallerRequest;

/// \brief Takes callers' requests: route, key, and the relay that serves them.
class CallerIntake
{
public:
    explicit CallerIntake(GatewayParts &parts);

    /// \brief Thread-safe.
    void handle(HttpRequest request, std::shared_ptr<Http1Responder> responder);

    /// \brief The process is about to end. On the queue.
    void drain() { m_drain.begin(m_parts.clock()); }
    /// \brief Configuration and servers are known and keys can be checked. On the queue.
    bool isServing() const;

private:
    void take(HttpRequest request, std::shared_ptr<Http1Responder> responder, TimePoint arrivedAt);
    void serve(CallerRequest request, std::shared_ptr<Http1Responder> responder,
               TimePoint arrivedAt);

    GatewayParts &m_parts;
    DrainIntake m_drain;
};

} // namespace foxtailring
