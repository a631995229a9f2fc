#pragma once

#include "foxtailring/decisions/sessions/AttemptWatch.h"
#include "foxtailring/decisions/sessions/EventSequence.h"
#include "foxtailring/decisions/sessions/EventVerdict.h"
#include "foxtailring/decisions/sessions/ForwardSession.h"
#include "foxtailring/decisions/sessions/ResumeWait.h"
#include "foxtailring/decisions/sessions/RunCopier.h"
#include "foxtailring/decisions/sessions/RunEntry.h"
#include "foxtailring/decisions/sessions/RunMove.h"
#include "foxtailring/decisions/sessions/RunPlacement.h"
#include "foxtailring/decisions/sessions/RunProgress.h"
#include "foxtailring/decisions/sessions/ServerSearch.h"

#include <algorithm>

namespace foxtailring {

/// \brief A request that is answered by numbered events and resumes at another server if its server
/// fails.
///
/// Engines may fail by whole availability zones while most of them execute runs. So each run is
/// copied continuously to a server in another zone. A silent server is detected within the pause
/// that the route allows between events, and the run resumes from its copy; without a copy it
/// starts over with the prompt. A run that has lost its copy gets a new one.
class StreamSession : public ForwardSession
{
public:
    /// \brief What the services of the route support.
    struct EngineCapabilities
    {
        bool canCopyContinuously = false; ///< copies a run to another server as it proceeds
        bool isSingleService = false;     ///< all engines belong to one service
        bool canBeProbed = false;         ///< reports its load and runs
        bool canCopyOnDemand = false;     ///< copies a snapshot of a run when told to
    };

    StreamSession(const HttpRoute &route, const ForwardRequest &request,
                  const ForwardContext &context, EngineCapabilities capabilities);

    /// \brief An event arrived. After Gap, the attempt must be ended as lost.
    EventVerdict onEvent(std::int64_t id, TimePoint now);
    /// \brief Bytes of an event arrived that is not complete yet.
    void onPartialEvent(TimePoint now);
    /// \brief The fallback sent an event. True if it follows the events passed on: the fallback is
    /// the current attempt again, the other one must be ended, and the event goes to onEvent().
    bool onFallbackEvent(std::int64_t id, TimePoint now);
    /// \brief True if events before the event \a id of the fallback are missing.
    bool isFallbackBeyondGap(std::int64_t id) const;
    /// \brief The fallback's stream ended completely, without an event that the caller lacks. True
    /// if the answer is complete: the fallback is the current attempt again. If not, it must be
    /// ended as lost.
    bool onFallbackFinished(TimePoint now);
    /// \brief Whether a stream that ends now is complete. If not, the attempt must be ended as
    /// lost.
    bool confirmEnd();
    /// \brief The stream ended completely.
    ForwardAction onFinished(TimePoint now);
    ForwardAction onProbed(std::span<const ServerProbeResult> reports, TimePoint now) override;
    /// \brief The CopyRun action \a copyRun is over.
    /// \param handle of the copy; none: copying failed
    ForwardAction onCopied(const CopyRun &copyRun, std::optional<std::string> handle,
                           TimePoint now);
    /// \brief A CopyRun action that was reported as failed has made a copy after all.
    void onLateCopy(const CopyRun &copyRun, std::string handle);
    /// \brief Releases the copies of the run when the request is over.
    void endCopies() { m_copier.end(); }
    /// \brief True if events were passed on, so that the answer can only continue or be aborted.
    bool hasStarted() const { return m_hasStarted; }
    std::optional<std::int64_t> lastEventId() const { return m_events.lastId(); }

private:
    ForwardAction makeAttempt(std::string_view cause, TimePoint now) override;
    ForwardAction onLost(AttemptResult result, TimePoint now) override;
    void onServerLost() override;
    /// The first event of the current attempt arrived.
    void recordPromptTime(TimePoint now);
    /// Tells how fast the engine is, once per attempt.
    void recordSpeed();
    void onRejected() override;
    std::uint32_t usedAttempts(TimePoint now) const override;
    bool hasPassedEvents() const override { return m_hasStarted; }
    bool isChoosingServer() const override { return m_search.isActive(); }
    ForwardAction waitForFallback(ForwardAction action, TimePoint now) override;
    ForwardAction waitForNextAttempt(Missing missing, ForwardAction ending, TimePoint now) override;
    ForwardAction lookForAttempt(TimePoint now) override;
    TimePoint nextLook() const override
    {
        return isChoosingServer() ? TimePoint::max()
                                  : std::min(m_wait.nextLook(), m_entry.nextLook());
    }
    ForwardAction conclude(ForwardAction action) const override;
    void onAttemptOver() override;
    bool hasOutlivedStart() const;
    TimePoint lastSignAt(TimePoint) const override { return m_watch.progress().lastContactAt(); }
    bool acceptsSuccessor() const override { return m_capabilities.isSingleService; }
    ForwardAction onOverdue(TimePoint now) override;
    TimePoint overdueAt() const override;

    /// Whether an attempt that is made later can still lead to a whole answer.
    bool mayWaitForAttempt(TimePoint now) const;
    /// Whether the run needs room of its own. One that has begun, or may have, was let in before.
    bool needsRoom() const { return !m_hasStarted && !m_events.lastId() && possibleRuns() == 0; }
    /// Waits until an engine may have room, or refuses the run.
    ForwardAction waitForRoom(TimePoint now);
    ForwardAction delayAttempt(std::string_view reason, Duration needed, TimePoint now);
    /// Whether the run can finish before the deadline if it first processes \a promptTokens.
    bool canFinishInTime(std::uint64_t promptTokens, TimePoint now) const;
    ForwardAction continueSearch(ServerSearch::Step step, TimePoint now);
    ForwardAction sendRun(SendAttempt next, TimePoint now);
    void keepAsFallback(SendAttempt &next, TimePoint now);
    TimePoint silenceDueAt() const;
    ForwardAction onSilent(TimePoint now);
    /// Looks for a server that can take the place of the current attempt, which goes on meanwhile.
    ForwardAction replaceAttempt(std::string_view cause, TimePoint now);
    /// Whether the report of the run's engine leads to a search for another one.
    bool startsMove(std::span<const ServerProbeResult> reports, TimePoint now);
    /// Whether the engine that sent the report has room for the run.
    bool hasRoom(const ServerProbeResult &report, TimePoint now);
    /// Whether the budget allows a move away from a server that may go on with the run.
    bool mayMoveOnBelief(TimePoint now) const;
    /// Whether the attempt at a silent server may still lead to a whole answer.
    bool mayOutlastSilence(TimePoint now) const;
    ForwardAction onWatched(AttemptWatch::Finding finding, TimePoint now);
    /// Goes on with the attempt at a silent server, since no other server can take its place.
    ForwardAction keepSilentAttempt(TimePoint now);
    /// What a quarantine does to the next attempt; none: it may be sent.
    std::optional<ForwardAction> applyQuarantine(TimePoint now);
    void returnToFallback(TimePoint now);
    ForwardAction refuseOrAbort(ForwardAction refusal, TimePoint now);

    const EngineCapabilities m_capabilities;
    RunPlacement m_placement;
    AttemptWatch m_watch;           ///< of the current attempt
    RunProgress m_fallbackProgress; ///< of the fallback
    RunCopier m_copier;             ///< of the current run
    RunEntry m_entry;               ///< of a run that has not begun
    RunMove m_move;                 ///< of a run that waits at its engine
    ServerSearch m_search;          ///< for the next attempt's server
    /// Servers that were lost after the caller had got an event.
    std::vector<BackendInfo> m_lostServers;
    ResumeWait m_wait;            ///< for the next attempt of a stream that has begun
    bool m_hasRetry = false;      ///< the next attempt's retry is taken, but it has no server yet
    std::string_view m_waitCause; ///< of the end of the stream if no attempt can be made
    EventSequence m_events;       ///< passed on
    bool m_hasStarted = false;
    bool m_hasEmptyEnd = false; ///< an attempt ended in order without an event
    TimePoint m_fallbackEndsAt; ///< at the latest
    bool m_isReplacing = false; ///< looking for a server while the attempt goes on
    TimePoint m_movableSince;   ///< the attempt is to be replaced since; 0: it is not
    std::string_view m_cause;   ///< of the next attempt
};

} // namespace foxtailring
