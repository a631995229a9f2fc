#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/admission/DrainAdmission.h"
#include "foxtailring/decisions/admission/StartupAdmission.h"
#include "foxtailring/gateway/GatewayRequest.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/Timer.h"

#include "GatewayParts.h"

#include <memory>
#include <vector>

namespace foxtailring {

class Http1Responder;
class RequestRelay;

/// \brief Decodes callers' requests, finds their route, checks their key and starts a relay for
/// each.
class RequestDispatcher
{
public:
    explicit RequestDispatcher(GatewayParts &parts);

    /// \brief Thread-safe.
    void handle(HttpRequest request, std::shared_ptr<Http1Responder> responder);

    /// \brief From now on refuses requests that cannot finish in time, and gives up calls that
    /// arrive from now on at \a endsAt. Call on the queue.
    void drain(TimePoint endsAt) { m_drain.begin(m_parts.clock(), endsAt); }
    /// \brief Ends all requests in progress: with a refusal, or cut if the answer has begun. Call
    /// on the queue.
    void giveUpRequests();
    /// \brief Serves the requests that waited for the first read of the store. Call on the queue.
    void onStoreRead();
    /// \brief Whether configuration and servers are known, keys can be checked and no drain has
    /// begun. Call on the queue.
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
    /// Serves the request, queues it until the first read of the store, or refuses it.
    void admit(PendingRequest pending);
    void enqueue(PendingRequest pending);
    void serve(PendingRequest pending);
    /// Counts the request's memory for the account. False: the account holds too much.
    bool assignMemory(GatewayRequest &request, const std::string &account) const;
    void track(const std::shared_ptr<RequestRelay> &relay);
    /// Limits the request's time to that of the drain. False: it is not expected to end in time.
    bool admitToDrain(GatewayRequest &request, const HttpRoute &route, const RouteTable &table,
                      TimePoint arrivedAt) const;
    DrainAdmission::Request drainRequest(const GatewayRequest &request, const HttpRoute &route,
                                         const RouteTable &table, TimePoint arrivedAt) const;
    std::optional<Duration> usualRunDuration(const GatewayRequest &request, const HttpRoute &route,
                                             const RouteTable &table) const;
    void limitTime(GatewayRequest &request, const DrainAdmission::Request &drained,
                   TimePoint arrivedAt) const;

    static constexpr std::size_t minPruneSize = 64;

    GatewayParts &m_parts;
    const StartupAdmission m_startup;
    DrainAdmission m_drain;
    std::vector<PendingRequest> m_pending; ///< wait for the first read of the store
    Timer m_startupTimer;
    std::vector<std::weak_ptr<RequestRelay>> m_relays;
    std::size_t m_pruneAt = minPruneSize;
};

} // namespace foxtailring
