#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/ForwardSession.h"
#include "foxtailring/decisions/MemoryBudget.h"
#include "foxtailring/decisions/RouteTable.h"
#include "foxtailring/decisions/StreamSession.h"
#include "foxtailring/gateway/CallerRequest.h"
#include "foxtailring/protocol/EventStreamReader.h"
#include "foxtailring/transport/HttpResponse.h"
#include "foxtailring/transport/Timer.h"

#include <cstdint>
#include <memory>
#include <string>

namespace foxtailring {

class Http1Responder;
class Http1Stream;
struct GatewayParts;

/// \brief Carries out what a ForwardSession decides for one caller's request.
///
/// Runs on the queue of the gateway; its connections and its timer keep it alive.
class RequestRelay : public std::enable_shared_from_this<RequestRelay>
{
public:
    /// \param table holds \a route
    RequestRelay(GatewayParts &parts, CallerRequest request,
                 std::shared_ptr<const RouteTable> table, const HttpRoute &route,
                 std::string account, std::shared_ptr<Http1Responder> responder,
                 TimePoint arrivedAt);

    void start();

private:
    struct Attempt
    {
        std::uint64_t number = 0;
        std::string serverId;
        std::shared_ptr<Http1Stream> stream;
        HttpResponse head;
        BackendAnswer answer;
        std::string body;
        EventStreamReader events;
        bool isStreamed = false; ///< events are passed on as they arrive
        bool isFromCopy = false;
        bool hasEvents = false;
    };
    using Work = std::function<void(RequestRelay &)>;

    std::unique_ptr<ForwardSession> makeSession(TimePoint arrivedAt);
    /// Runs \a work on the queue if attempt \a number is still the present one.
    std::function<void(Work)> posterFor(std::uint64_t number);
    void perform(const ForwardAction &action);
    void send(const SendAttempt &next);
    void logAttempt(const SendAttempt &next) const;
    void ask(const ProbeServers &question);
    void copyRun(const CopyRun &order);
    void runCopied(const CopyRun &order, const Result<HttpResponse> &response);
    void answeredByServers(std::span<const ServerProbeResult> reports);
    void headArrived(HttpResponse head);
    void bodyArrived(std::string_view bytes);
    /// Notes what the request holds. False: it is more than it may, and \a what is given up.
    bool holdsInBudget(std::string_view what);
    void eventArrived(std::optional<std::int64_t> id, std::string_view text);
    void closed(const Result<Done> &result);
    void streamEnded();
    void end(AttemptResult result);
    void noteResume(TimePoint now);
    void beginStream();
    void passAnswer();
    void refuse(const Refuse &refusal);
    void cut(const AbortAnswer &reason);
    void callerLeft();
    void closeAttempt();
    void finish(std::string_view outcome, std::string_view cause, int status);
    void watchTime();
    void checkTime();

    GatewayParts &m_parts;
    const CallerRequest m_request;
    const std::shared_ptr<const RouteTable> m_table;
    const HttpRoute &m_route;
    const std::string m_account;
    const std::shared_ptr<Http1Responder> m_responder;
    const TimePoint m_arrivedAt;
    const std::unique_ptr<ForwardSession> m_session;
    StreamSession *const m_stream; ///< the session when the answer is a stream, else null
    MemoryBudget::Reservation m_memory;
    Timer m_timer;
    Attempt m_attempt;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_questions = 0;
    TimePoint m_lastEventAt;
    bool m_hasBegun = false; ///< the head of a streamed answer was sent to the caller
    bool m_isFinished = false;
};

} // namespace foxtailring
