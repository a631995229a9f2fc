#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/decisions/sessions/AttemptResult.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace foxtailring {

class RouteTable;
struct GatewayParts;
struct GatewayRequest;
struct HttpRoute;
struct ServerAttempt;

/// \brief Logs and counts what happens to one request.
class RequestReporter
{
public:
    /// \brief How a request ended.
    struct Outcome
    {
        std::string_view name;
        std::string_view cause; ///< empty: none
        int status = 0;         ///< 0: no complete answer
    };

    /// \param request and the other references must outlive the reporter
    RequestReporter(GatewayParts &parts, const GatewayRequest &request, const RouteTable &table,
                    const HttpRoute &route, TimePoint arrivedAt);

    void reportException(std::string_view message) const;
    void reportAttempt(const SendAttempt &next, std::uint64_t number) const;
    /// \brief A begun stream waits for its next attempt.
    void reportDelay(const DelayAttempt &delay, const std::string &service) const;
    void reportFailure(const ServerAttempt &attempt, AttemptResult result) const;
    /// \brief The server of \a attempt named a rate limit.
    void reportRateLimit(const ServerAttempt &attempt) const;
    /// \brief Figures of the load that the server of \a attempt tells cannot be read.
    void reportUnreadableLoad(const ServerAttempt &attempt) const;
    void reportProbe(std::span<const ServerProbeResult> results, std::uint64_t attemptNumber,
                     std::int64_t lastEventId) const;
    /// \brief The stream goes on after \a pause without an event.
    void reportResume(const ServerAttempt &attempt, Duration pause) const;
    void reportFirstEvent() const;
    /// \brief An attempt that was to be replaced goes on.
    /// \param cause what showed it: an event, its end, or that no other server takes the request
    void reportFallbackResumed(const ServerAttempt &attempt, std::string_view cause) const;
    /// \brief A call with a second attempt is answered.
    /// \param answered the attempt whose answer is passed on, `first` or `second`
    void reportSecondAttempt(std::string_view answered) const;
    /// \brief The memory budget does not allow \a bytes, with \a what that the request now holds.
    void reportOverBudget(std::string_view what, std::string_view serverId,
                          std::size_t bytes) const;
    /// \param serverId of the latest attempt
    void reportEnd(const Outcome &outcome, std::string_view serverId,
                   std::uint64_t attemptCount) const;

private:
    /// What is left of the service's retry budget.
    std::string retriesLeft(const std::string &service) const;
    Duration age() const;
    std::string busyAgeText(const BackendState &server) const;

    GatewayParts &m_parts;
    const GatewayRequest &m_request;
    const RouteTable &m_table;
    const HttpRoute &m_route;
    const TimePoint m_arrivedAt;
};

} // namespace foxtailring
