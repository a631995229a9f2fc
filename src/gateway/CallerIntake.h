#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/DrainAdmission.h"
#include "foxtailring/decisions/StartupAdmission.h"
#include "foxtailring/gateway/CallerRequest.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/Timer.h"

#include "GatewayParts.h"

#include <memory>
#include <vector>

namespace foxtailring {

class Http1Responder;

/// \brief Takes callers' requests: route, key, and the relay that serves them.
class CallerIntake
{
public:
    explicit CallerIntake(GatewayParts &parts);

    /// \brief Thread-safe.
    void handle(HttpRequest request, std::shared_ptr<Http1Responder> responder);

    /// \brief The process is about to end. On the queue.
    void drain() { m_drain.begin(m_parts.clock()); }
    /// \brief The store was read: requests that waited for that are served. On the queue.
    void storeRead();
    /// \brief Configuration and servers are known and keys can be checked. On the queue.
    bool isServing() const;

private:
    struct Arrival
    {
        CallerRequest request;
        std::shared_ptr<Http1Responder> responder;
        TimePoint at;
    };

    void take(HttpRequest request, std::shared_ptr<Http1Responder> responder, TimePoint arrivedAt);
    /// Serves, refuses or keeps a request that can be read.
    void admit(Arrival arrival);
    void keep(Arrival arrival);
    void serve(Arrival arrival);

    GatewayParts &m_parts;
    const StartupAdmission m_start;
    DrainAdmission m_drain;
    std::vector<Arrival> m_waiting; ///< for the first read of the store
    Timer m_startTimer;
};

} // namespace foxtailring
