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
    struct Engines
    {
        bool keepCopies = false; ///< a copy of a run can grow at another server
        bool areAlike = false;   ///< every engine belongs to one service
        bool canBeAsked = false; ///< they answer questions about their load and runs
        bool canMove = false;    ///< they copy a run's memory when they are told to
    };

    StreamSession(const HttpRoute &route, const ForwardRequest &request,
                  const ForwardContext &context, Engines engines);

    /// \brief An event arrived. Gap: the answer has a hole, and the attempt is to be ended as lost.
    EventVerdict event(std::int64_t id, TimePoint now);
    /// \brief The answer's end arrived; KeepWaiting when it is passed on.
    ForwardAction finished(TimePoint now);
    ForwardAction asked(std::span<const ServerReport> reports, TimePoint now) override;
    /// \brief The run was copied as \a order says, and the copy has this handle; none: it failed.
    ForwardAction copied(const CopyRun &order, std::optional<std::string> handle, TimePoint now);
    /// \brief The request has its end, whatever it is: no copy of its run is needed any more.
    void dropCopy() { m_copy.drop(); }
    /// \brief Something was passed on to the caller, so that no other answer can be given.
    bool hasBegun() const { return m_hasBegun; }
    std::optional<std::int64_t> lastEventId() const { return m_lastEventId; }

private:
    ForwardAction attempt(std::string_view cause, TimePoint now) override;
    ForwardAction lost(AttemptResult result, TimePoint now) override;
    void turnedAway() override;
    bool mayAdopt() const override { return m_engines.areAlike; }
    ForwardAction overdue(TimePoint now) override;
    TimePoint overdueAt() const override;
    ForwardAction expired(TimePoint now) override;

    ForwardAction renewCopy(TimePoint now);
    ForwardAction askKeeper(const BackendState &keeper);
    void keeperAsked(std::span<const ServerReport> reports, TimePoint now);
    std::optional<BackendState> copyKeeper(const BackendState &runner, TimePoint now) const;
    /// A caller that comes back has a prompt that some engine may still have in memory.
    ForwardAction findPrompt(TimePoint now);
    ForwardAction promptFound(std::span<const ServerReport> reports, TimePoint now);
    /// Whether the run can be over in time if \a promptTokens of it are read first.
    bool canEndInTime(std::uint64_t promptTokens, TimePoint now) const;
    ForwardAction askChoices(TimePoint now);
    ForwardAction placeAmong(std::span<const ServerReport> reports, TimePoint now);
    ForwardAction sendRun(SendAttempt next, TimePoint now);
    PlacementRequest placement(std::span<const std::string> exclude) const;
    void placeCopy(SendAttempt &attempt, TimePoint now);
    Duration quietLimit() const;
    TimePoint silentAt() const;
    TimePoint stuckAt() const;
    bool isAbandoned(TimePoint now) const;
    bool hasLostConnection(const ServerReport &report) const;
    ForwardAction giveUp(ForwardAction refusal);

    const Engines m_engines;
    RunCopy m_copy; ///< of the present run
    std::optional<std::int64_t> m_lastEventId;
    bool m_hasBegun = false;
    bool m_hasEvents = false; ///< the present attempt has produced one
    bool m_isResumed = false; ///< the present attempt goes on from a copy
    TimePoint m_lastEventAt;
    TimePoint m_firstEventAt; ///< of the present attempt
    TimePoint m_heardAt;      ///< latest sign of life of the present server
    TimePoint m_askedAt;
    bool m_isAsking = false;       ///< the present server was asked whether it lives
    bool m_isFinding = false;      ///< servers were asked for the prompt
    bool m_isPlacing = false;      ///< servers were asked for their load
    bool m_isAskingKeeper = false; ///< the server that keeps the copy was asked whether it lives
    bool m_isCopying = false;      ///< the present server was told to copy the run
    TimePoint m_copyCheckAt = TimePoint::max();
    std::vector<std::string> m_homes;    ///< ids of the servers where the prompt is read as a rule
    std::vector<std::string> m_choices;  ///< ids of the servers asked for their load
    std::vector<std::string> m_answered; ///< those of them that answered
    std::uint32_t m_promptsAhead = 0;    ///< most that the present server told
    std::string_view m_cause;            ///< why the next attempt is made
    Duration m_meanInterval {0};         ///< between events; 0: not known yet
};

} // namespace foxtailring
