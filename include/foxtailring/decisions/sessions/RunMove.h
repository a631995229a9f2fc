#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/sessions/EngineQueuePlace.h"
#include "foxtailring/decisions/sessions/RunMoveExplanation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailring {

struct BackendState;
struct ForwardContext;
struct ForwardRequest;
struct ServerProbeResult;

/// \brief Whether one run that waits at its engine goes on at another one, which is expected to
/// deliver the first event clearly sooner.
///
/// A run whose prompt is processed stays: the tokens would be processed in vain.
class RunMove
{
public:
    /// \param service may change; it and the others must outlive the object
    RunMove(const ForwardContext &context, const ForwardRequest &request,
            const std::string &service);

    /// \brief The run is sent to \a server.
    void start(const BackendState &server, TimePoint now);
    /// \brief The attempt before the latest one is the current one again.
    void returnToPrevious();
    /// \brief The run's engine reported. True if other engines are to be asked now: a search
    /// begins.
    bool startSearch(const ServerProbeResult &report, TimePoint now);
    bool isSearching() const { return m_isSearching; }
    /// \brief Whether the engine that sent the report has no prompt before the run and is expected
    /// to be sooner.
    bool accepts(const ServerProbeResult &report, TimePoint now);
    /// \brief True if the run may go to the server: accepts() returned true for it, or there is no
    /// search.
    bool allows(const std::string &serverId) const;
    /// \brief Ends the search without a move. False if there was none.
    bool keep(TimePoint now);
    /// \brief The attempt that was to be moved is over.
    void drop() { m_isSearching = false; }
    /// \brief The run got its first event from the server of the latest start().
    void recordFirstEvent(TimePoint now);

private:
    /// \brief One attempt of the run.
    struct Attempt
    {
        EngineQueuePlace place;
        std::string serverId;
        TimePoint sentAt;
        Duration expected {0}; ///< from then to the first event
    };

    void recordMoved();
    void explain(RunMoveExplanation::Decision decision) const;
    Duration expectedHere(TimePoint now) const;
    double relativeDuration(const std::string &serverId, TimePoint now) const;
    /// Expected time for the run's own prompt at an engine of usual speed.
    Duration promptTime() const;

    const ForwardContext &m_context;
    const ForwardRequest &m_request;
    const std::string &m_service;
    Attempt m_attempt;
    Attempt m_previous;
    bool m_isSearching = false;
    std::uint32_t m_moves = 0;
    TimePoint m_notBefore; ///< of the next search
    RunMoveExplanation m_explanation;
    std::vector<std::string> m_accepted; ///< ids of servers
};

} // namespace foxtailring
