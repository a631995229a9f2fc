#pragma once

#include "foxtailring/decisions/EventVerdict.h"
#include "foxtailring/decisions/ForwardSession.h"
#include "foxtailring/decisions/PlacementRequest.h"
#include "foxtailring/decisions/RunCopy.h"

namespace foxtailring {

/// \brief A request that is answered by numbered events, which goes on at another server when its
/// server is lost.
///
/// Answers the load of engines that crash by availability zone while most of them run something: a
/// copy of each run grows at a server in another zone, silence is noticed within the pause that the
/// route allows, and the run goes on from its copy. A run whose copy is lost gets another one.
/// Without a copy the prompt is read anew.
class StreamSession : public ForwardSession
{
public:
    /// \brief What the configuration says of the route's services.
    struct EngineCapabilities
    {
        bool canCopyContinuously = false; ///< a copy of a run can grow at another server
        bool isSingleService = false;     ///< every engine belongs to one service
        bool canBeProbed = false;         ///< they answer questions about their load and runs
        bool canCopyOnDemand = false;     ///< they copy a run's memory when they are told to
    };

    StreamSession(const HttpRoute &route, const ForwardRequest &request,
                  const ForwardContext &context, EngineCapabilities capabilities);

    /// \brief An event arrived. Gap: the answer has a hole, and the attempt is to be ended as lost.
    EventVerdict onEvent(std::int64_t id, TimePoint now);
    /// \brief The answer's end arrived; KeepWaiting when it is passed on.
    ForwardAction onFinished(TimePoint now);
    ForwardAction onProbed(std::span<const ServerProbeResult> reports, TimePoint now) override;
    /// \brief The run was copied as \a order says, and the copy has this handle; none: it failed.
    ForwardAction onCopied(const CopyRun &order, std::optional<std::string> handle, TimePoint now);
    /// \brief The request has its end, whatever it is: no copy of its run is needed any more.
    void dropCopy() { m_copy.drop(); }
    /// \brief Something was passed on to the caller, so that no other answer can be given.
    bool hasStarted() const { return m_hasStarted; }
    std::optional<std::int64_t> lastEventId() const { return m_lastEventId; }

private:
    ForwardAction makeAttempt(std::string_view cause, TimePoint now) override;
    ForwardAction onLost(AttemptResult result, TimePoint now) override;
    void onRejected() override;
    bool acceptsSuccessor() const override { return m_capabilities.isSingleService; }
    ForwardAction onOverdue(TimePoint now) override;
    TimePoint overdueAt() const override;
    ForwardAction onExpired(TimePoint now) override;

    ForwardAction maintainCopy(TimePoint now);
    ForwardAction probeCopyHolder(const BackendState &holder);
    void onCopyHolderProbed(std::span<const ServerProbeResult> reports, TimePoint now);
    std::optional<BackendState> chooseCopyHolder(const BackendState &runner, TimePoint now) const;
    /// A caller that comes back has a prompt that some engine may still have in memory.
    ForwardAction probeForPrompt(TimePoint now);
    ForwardAction onPromptProbed(std::span<const ServerProbeResult> reports, TimePoint now);
    /// Whether the run can be over in time if \a promptTokens of it are read first.
    bool canFinishInTime(std::uint64_t promptTokens, TimePoint now) const;
    ForwardAction probeCandidates(TimePoint now);
    ForwardAction placeRun(std::span<const ServerProbeResult> reports, TimePoint now);
    ForwardAction sendRun(SendAttempt next, TimePoint now);
    PlacementRequest placement(std::span<const std::string> exclude) const;
    void assignCopyHolder(SendAttempt &attempt, TimePoint now);
    Duration silenceThreshold() const;
    TimePoint silenceDueAt() const;
    TimePoint stuckAt() const;
    bool isPresumedLost(TimePoint now) const;
    bool isRunLost(const ServerProbeResult &report) const;
    ForwardAction refuseOrAbort(ForwardAction refusal);

    const EngineCapabilities m_capabilities;
    RunCopy m_copy; ///< of the present run
    std::optional<std::int64_t> m_lastEventId;
    bool m_hasStarted = false;
    bool m_hasEvents = false; ///< the present attempt has produced one
    bool m_isResumed = false; ///< the present attempt goes on from a copy
    TimePoint m_lastEventAt;
    TimePoint m_firstEventAt;  ///< of the present attempt
    TimePoint m_lastContactAt; ///< latest sign of life of the present server
    TimePoint m_probedAt;
    bool m_isProbing = false;       ///< the present server was asked whether it lives
    bool m_isFindingPrompt = false; ///< servers were asked for the prompt
    bool m_isPlacing = false;       ///< servers were asked for their load
    bool m_isProbingHolder = false; ///< the server that keeps the copy was asked whether it lives
    bool m_isCopying = false;       ///< the present server was told to copy the run
    TimePoint m_copyCheckAt = TimePoint::max();
    std::vector<std::string>
        m_affinityServers; ///< ids of the servers where the prompt is read as a rule
    std::vector<std::string> m_candidates; ///< ids of the servers asked for their load
    std::vector<std::string> m_responsive; ///< those of them that answered
    std::uint32_t m_promptsAhead = 0;      ///< most that the present server told
    std::string_view m_cause;              ///< why the next attempt is made
    Duration m_meanEventInterval {0};      ///< between events; 0: not known yet
};

} // namespace foxtailring
