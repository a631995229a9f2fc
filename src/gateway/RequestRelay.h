#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/configuration/RouteTable.h"
#include "foxtailring/decisions/sessions/ForwardSession.h"
#include "foxtailring/decisions/sessions/StreamSession.h"
#include "foxtailring/gateway/GatewayRequest.h"
#include "foxtailring/transport/HttpResponse.h"
#include "foxtailring/transport/Timer.h"

#include "AnswerReader.h"
#include "AttemptSender.h"
#include "CallerAnswer.h"
#include "CopyOrderSender.h"
#include "OpenAttempts.h"
#include "RequestReporter.h"
#include "SlowCallers.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace foxtailring {

class Http1Responder;
class RequestMemory;
struct GatewayParts;

/// \brief Carries out what a ForwardSession decides for one caller's request.
///
/// Runs on the gateway's queue; its connections and its timer keep it alive.
class RequestRelay : public std::enable_shared_from_this<RequestRelay>
{
public:
    /// \param table owns \a route and stays the one in use when a newer configuration arrives
    /// \param account client account of the caller; empty on a public route
    RequestRelay(GatewayParts &parts, GatewayRequest request,
                 std::shared_ptr<const RouteTable> table, const HttpRoute &route,
                 std::string account, std::shared_ptr<Http1Responder> responder,
                 TimePoint arrivedAt);

    void start();
    /// \brief Ends the request now: with a refusal, or cut if its answer has begun.
    void giveUp();

private:
    using AttemptTask = std::function<void(RequestRelay &)>;

    /// The returned function posts two tasks to the queue: the first is run if attempt \a number is
    /// the current one by then, the second if it is the fallback.
    std::function<void(AttemptTask, AttemptTask)> attemptPoster(std::uint64_t number);
    /// Runs \a work; an exception ends the request.
    void guard(const std::function<void()> &work);
    void onException(std::string_view message);
    void perform(const ForwardAction &action);
    void send(const SendAttempt &next);
    void probeServers(const ProbeServers &probe);
    CopyOrderSender::Hooks copyHooks();
    void onProbeResults(std::span<const ServerProbeResult> results);
    void onHead(HttpResponse head);
    void onBody(std::string_view bytes);
    /// Passes on the events of a stream that is the current attempt.
    void onEvents(std::string_view bytes);
    /// Whether the request goes on and attempt \a number is the current one.
    bool isOpen(std::uint64_t number) const;
    /// Reserves the memory that the request holds now. False: over the budget; the caller of this
    /// function abandons \a what.
    bool updateHeldMemory(std::string_view what);
    /// Takes note of how much of a streamed answer its caller has read.
    void updateSlowCaller();
    /// Cuts the answer, whose caller reads too slowly, and gives back its memory.
    void giveUpSlowCaller();
    void onEvent(std::optional<std::int64_t> id, std::string_view text);
    void onClosed(const Result<Done> &result);
    /// A connection to the server of the attempt failed; returns what became of the attempt.
    AttemptResult recordConnectionError(const ServerAttempt &attempt, const Error &error);
    void onStreamEnd();
    void endAttempt(AttemptResult result);
    void onFallbackHead(HttpResponse head);
    void onFallbackBody(std::string_view bytes);
    void onFallbackClosed(const Result<Done> &result);
    void endFallback(AttemptResult result);
    void delayAttempt(const DelayAttempt &delay);
    /// The fallback is the current attempt again; the one in progress is ended.
    void resumeFallback(std::string_view cause);
    /// Passes on the events of a stream that is the fallback.
    void onFallbackEvents(std::string_view bytes);
    /// Ends the fallback if the session needs it no longer.
    void updateFallback();
    void recordHead(ServerAttempt &attempt, HttpResponse head);
    void forwardAnswer(const PassAnswer &pass);
    void refuse(const Refuse &refusal);
    void abortAnswer(const AbortAnswer &reason);
    void onCallerDisconnect();
    void finish(std::string_view outcome, std::string_view cause, int status);
    void armTimer();
    void onTimer();

    GatewayParts &m_parts;
    const GatewayRequest m_request;
    const std::shared_ptr<const RouteTable> m_table;
    const HttpRoute &m_route;
    const TimePoint m_arrivedAt;
    const RequestReporter m_reporter;
    CallerAnswer m_answer;
    const std::unique_ptr<ForwardSession> m_session;
    StreamSession *const m_stream; ///< m_session if the answer is a stream, else null
    const AttemptSender m_sender;
    const AnswerReader m_reader;
    const std::shared_ptr<RequestMemory> m_memory;
    Timer m_timer;
    TimePoint m_timerAt = TimePoint::max(); ///< when it fires; the maximum: it is not set
    CopyOrderSender m_copyOrders;
    OpenAttempts m_attempts;
    std::uint64_t m_probeCount = 0;
    SlowCallers::Id m_slowCallerId = 0; ///< 0: no event was passed on yet
    bool m_isFinished = false;
};

} // namespace foxtailring
