#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/DrainAdmission.h"
#include "foxtailring/decisions/StartupAdmission.h"
#include "foxtailring/gateway/GatewayRequest.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/Timer.h"

#include "GatewayParts.h"

#include <memory>
#include <vector>

namespace foxtailring {

class Http1Responder;

/// \brief Takes callers' requests: route, key, and the relay that serves them.
class RequestDispatcher
{
public:
    explicit RequestDispatcher(GatewayParts &parts);

    /// \brief Thread-safe.
    void handle(HttpRequest request, std::shared_ptr<Http1Responder> responder);

    /// \brief The process is about to end. On the queue.
    void drain() { m_drain.begin(m_parts.clock()); }
    /// \brief The store was read: requests that waited for that are served. On the queue.
    void onStoreRead();
    /// \brief Configuration and servers are known and keys can be checked. On the queue.
    bool isServing() const;

private:
    struct PendingRequest
    {
        GatewayRequest request;
        std::shared_ptr<Http1Responder> responder;
        TimePoint arrivedAt;
    };

    void decode(HttpRequest request, std::shared_ptr<Http1Responder> responder,
                TimePoint arrivedAt);
    /// Serves, refuses or keeps a request that can be read.
    void admit(PendingRequest pending);
    void enqueue(PendingRequest pending);
    void serve(PendingRequest pending);

    GatewayParts &m_parts;
    const StartupAdmission m_startup;
    DrainAdmission m_drain;
    std::vector<PendingRequest> m_pending; ///< for the first read of the store
    Timer m_startupTimer;
};

} // namespace foxtailring
