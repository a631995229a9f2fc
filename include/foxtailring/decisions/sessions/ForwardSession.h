#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/configuration/HttpRoute.h"
#include "foxtailring/decisions/placement/AdmittedPlacer.h"
#include "foxtailring/decisions/quarantine/RequestSuspicion.h"
#include "foxtailring/decisions/rollouts/AttemptObservation.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"
#include "foxtailring/decisions/servers/ServerEvidence.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/decisions/sessions/AttemptResult.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"
#include "foxtailring/decisions/sessions/ForwardRequest.h"
#include "foxtailring/decisions/sessions/RequestWork.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace foxtailring {

struct AnswerOrigin;

/// \brief Decides how one caller's request is handled: where it is sent, when it is retried, and
/// how it is answered.
///
/// Each call takes an event and the current time, and returns the action to carry out. SendAttempt
/// replaces the attempt in progress, or keeps it as the fallback until it ends or the caller is
/// answered. Not thread-safe; used on the queue of its context.
class ForwardSession
{
public:
    /// \param route must outlive the session, as must all that \a context refers to
    ForwardSession(const HttpRoute &route, const ForwardRequest &request,
                   const ForwardContext &context);
    /// \brief Stops counting the attempt in progress at its server.
    virtual ~ForwardSession();
    ForwardSession(const ForwardSession &) = delete;
    ForwardSession &operator=(const ForwardSession &) = delete;

    /// \brief Returns the first action.
    ForwardAction start(TimePoint now);
    /// \brief The status and headers of an answer arrived.
    void onHead(const BackendAnswer &answer, TimePoint now);
    /// \brief A complete answer arrived.
    ForwardAction onAnswer(const BackendAnswer &answer, TimePoint now);
    /// \brief The attempt ended without an answer that can be passed on.
    ForwardAction onAttemptEnded(AttemptResult result, TimePoint now);
    /// \brief The status and headers of the fallback's answer arrived.
    void onFallbackHead(const BackendAnswer &answer, TimePoint now);
    /// \brief A complete answer of the fallback arrived.
    ForwardAction onFallbackAnswer(const BackendAnswer &answer, TimePoint now);
    /// \brief The fallback ended without an answer that can be passed on.
    ForwardAction onFallbackEnded(AttemptResult result, TimePoint now);
    /// \brief False if an earlier attempt that was kept must be ended now.
    bool hasFallback() const { return m_fallback.has_value(); }
    /// \brief The latest ProbeServers is over.
    /// \param reports answers that arrived in time
    virtual ForwardAction onProbed(std::span<const ServerProbeResult> reports, TimePoint now);
    /// \brief Applies the time limits. To be called at nextCheck().
    ForwardAction check(TimePoint now);
    TimePoint nextCheck() const;
    /// \brief Ends the request as at its deadline.
    ForwardAction expire();

    const std::string &service() const { return m_service; }
    /// \brief Number of attempts so far in which the request was or may have been executed.
    std::uint32_t possibleRuns() const { return m_possibleRuns; }

protected:
    const HttpRoute &route() const { return m_route; }
    const ForwardRequest &request() const { return m_request; }
    const ForwardContext &context() const { return m_context; }
    TimePoint deadline() const { return m_deadline; }
    TimePoint sentAt() const { return m_sentAt; }
    bool hasServer() const { return m_server.has_value(); }
    /// \brief When the fallback was sent; none: there is no fallback.
    std::optional<TimePoint> fallbackSentAt() const
    {
        return m_fallback ? std::optional(m_fallback->sentAt) : std::nullopt;
    }
    const BackendState &server() const { return *m_server; }
    const std::vector<std::string> &triedIds() const { return m_triedIds; }
    std::chrono::milliseconds timeLeft(TimePoint now) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now);
    }
    bool isPastDeadline(TimePoint now) const { return now >= m_deadline; }
    AdmittedPlacer &admittedPlacer() { return m_admittedPlacer; }

    /// \brief The server of the current attempt does not answer a probe. It may have crashed
    /// because of the request, unless a server has begun to answer it.
    void suspectCrash(TimePoint now);
    /// \brief The same for the server of the fallback.
    void suspectFallbackCrash(TimePoint now);
    /// \brief The server of the current attempt sent something, so it has not failed.
    void recordSignOfLife();
    /// \brief The same for the server of the fallback.
    void recordFallbackSignOfLife();
    /// \brief Tells the roll-outs of an event of the current attempt.
    void observeEvent(TimePoint now) { m_observation.recordEvent(now); }
    /// \brief Tells the roll-outs that the stream of the current attempt is complete.
    void observeEnd(TimePoint now) { m_observation.recordEnd(now); }
    /// \brief The server of the current attempt failed, or looks as if it had. The quarantine
    /// counts one failure of an attempt.
    /// \param at when it failed, as far as is known
    void recordServerFailure(TimePoint at, TimePoint now);
    /// \brief What is quarantined of the request; empty: nothing, or a server has begun to answer.
    std::string_view quarantinedSuspect(TimePoint now) const;
    /// \brief A server began to answer and went on, so that nothing of the request crashes it.
    void recordStart(TimePoint now);
    /// \brief Refusal if something of the request is quarantined and it is new or known to have
    /// crashed its own servers; none: the request may be sent.
    std::optional<ForwardAction> refuseQuarantined(TimePoint now) const;

    const ServerEvidence &evidence() const { return m_evidence; }
    const RequestWork &work() const { return m_work; }
    /// \brief Takes a request to the server. False if its rate limit or a pause allows none.
    bool tryAcquire(const std::string &serverId, TimePoint now)
    {
        return m_admittedPlacer.tryAcquire(serverId, now);
    }
    /// \brief Chooses a server to which a request may be sent now, and takes the request.
    std::optional<BackendState> choose(const PlacementRequest &placement,
                                       AdmittedPlacer::Chooser chooser, TimePoint now)
    {
        return m_admittedPlacer.choose(placement, chooser, now);
    }
    /// \brief Refusal if choose() found no server.
    ForwardAction refuseUnplaced(TimePoint now);
    /// \brief Takes one retry from the budget. False if the route, the remaining time or the budget
    /// allows none.
    bool tryTakeRetry(TimePoint now);
    /// \brief Makes \a attempt the current one and returns it as an action. If it keeps the latest
    /// attempt, that one becomes the fallback.
    ForwardAction send(SendAttempt attempt, TimePoint now);
    /// \brief Returns \a action, which would end the request without success, or waits for the
    /// fallback.
    virtual ForwardAction waitForFallback(ForwardAction action, TimePoint now);
    /// \brief What keeps a request from its next attempt.
    enum class Missing : std::uint8_t {
        Retry,  ///< the retry budget is used up
        Server, ///< no server takes the request
    };

    /// \brief Returns \a ending, which ends the request without success, or waits for the fallback
    /// or until \a missing may be there.
    virtual ForwardAction waitForNextAttempt(Missing missing, ForwardAction ending, TimePoint now);
    /// \brief Servers that did not take the request may be tried again, unless they are suspected.
    /// One that does not take it then ends the search at once.
    void forgetRejections(TimePoint now);
    /// \brief Time until a server of the service takes a request; 0: now or unknown.
    Duration waitForServer(TimePoint now) const { return m_admittedPlacer.waitForServer(now); }
    /// \brief The fallback becomes the current attempt again; an attempt in progress is abandoned.
    void resumeFallback();
    void releaseFallback();
    ForwardAction refuse(int status, std::string_view cause,
                         Duration minRetryAfter = Duration {0}) const;
    /// \brief Counts an abandoned attempt that may have been executed.
    void countPossibleRun();
    /// \brief Stops counting the current attempt at its server; no attempt is current afterwards.
    void releaseServer();
    /// \brief Returns what to do in place of \a action, which would answer the caller.
    virtual ForwardAction conclude(ForwardAction action) const;

private:
    /// An attempt that goes on while other servers are tried.
    struct Fallback
    {
        BackendState server;
        TimePoint sentAt;
        bool isFailureRecorded = false; ///< of its server
        AttemptObservation observation;
    };

    /// \brief Returns the next attempt, or what must happen before it; Refuse if no server is left.
    virtual ForwardAction makeAttempt(std::string_view cause, TimePoint now) = 0;
    /// \brief The current attempt was lost and may have been executed.
    virtual ForwardAction onLost(AttemptResult result, TimePoint now) = 0;
    /// \brief True if a server at the address of another one can be used in its place.
    virtual bool acceptsSuccessor() const { return false; }
    /// \brief The answer of a server began after this time.
    virtual void recordAnswerTime(const BackendState &, const BackendAnswer &, Duration, TimePoint)
    {
    }
    /// \brief An attempt is cancelled after this time, since another one was answered.
    virtual void recordCancelled(const BackendState &, Duration, TimePoint) { }
    /// \brief The current attempt has ended, or is about to be replaced after its deadline.
    virtual void onAttemptOver() { }
    /// \brief True while the server for the next attempt is being chosen.
    virtual bool isChoosingServer() const { return false; }
    /// \brief The connection to the server of the current attempt ended before the answer did.
    virtual void onServerLost() { }
    /// \brief The server did not execute the attempt.
    virtual void onRejected() { }
    /// \brief Number of attempts that count against the limit of the route.
    virtual std::uint32_t usedAttempts(TimePoint) const { return m_possibleRuns; }
    /// \brief True if a part of the answer was passed on, so that a whole answer is of no use.
    virtual bool hasPassedEvents() const { return false; }
    /// \brief When the server of the current attempt last showed that it works, if that is known.
    virtual TimePoint lastSignAt(TimePoint now) const { return now; }
    /// \brief Called at overdueAt() while an attempt is in progress.
    virtual ForwardAction onOverdue(TimePoint now) = 0;
    /// \brief The next time limit of the current attempt.
    virtual TimePoint overdueAt() const = 0;
    /// \brief Called at nextLook() while no attempt is in progress.
    virtual ForwardAction lookForAttempt(TimePoint) { return KeepWaiting {}; }
    /// \brief When to look for the next attempt; never if the request does not wait for one.
    virtual TimePoint nextLook() const { return TimePoint::max(); }

    void chooseService();
    /// \brief True if the request may crash servers. One that does lets no event through.
    bool mayCrashServers() const { return !hasPassedEvents(); }
    bool isSubjectToQuarantine() const;
    /// \brief Tells the quarantine of the failure of the current attempt's server, once.
    void reportFailure(TimePoint at, TimePoint now);
    ForwardAction onWrongServer(const BackendAnswer &answer, TimePoint now);
    ForwardAction retryRejected(AttemptResult result, TimePoint now);
    bool tryConsumeBudget(TimePoint now);
    ForwardAction passHeldAnswer() const;
    /// \brief An answer is passed on, so attempts that are still in progress end.
    void cancelAttempts(TimePoint now);
    /// \brief True if a server was sent the request and has not said that it did not run it. The
    /// fallback counts among the possible runs.
    bool hasPossibleRun() const { return m_possibleRuns > 0 || m_server; }
    /// \brief What is known of the request.
    AnswerOrigin origin() const;
    /// \brief True if a server's answer with \a status, which may have run, can be passed on.
    bool mayPass(int status) const;

    const HttpRoute &m_route;
    const ForwardRequest m_request;
    const ForwardContext m_context;
    const ServerEvidence m_evidence;
    RequestSuspicion m_suspicion;
    const TimePoint m_deadline;
    std::string m_service;
    const RequestWork m_work;
    AdmittedPlacer m_admittedPlacer;
    std::vector<std::string> m_triedIds; ///< ids of servers
    std::optional<BackendState> m_server;
    AttemptObservation m_observation; ///< of the current attempt
    TimePoint m_sentAt;
    std::optional<Fallback> m_fallback;
    /// Status of a server's answer that is passed on, if it may be, unless another attempt is sent;
    /// none: no answer.
    std::optional<int> m_heldStatus;
    bool m_isFailureRecorded = false; ///< of the current attempt's server
    bool m_isCrashSuspected = false;  ///< of the current attempt's server, because of its silence
    std::uint32_t m_possibleRuns = 0;
    std::uint32_t m_rejections = 0;
    std::uint32_t m_addressFailures = 0;
};

} // namespace foxtailring
