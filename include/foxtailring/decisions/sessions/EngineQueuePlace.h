#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>

namespace foxtailring {

struct ServerProbeResult;

/// \brief Whether a run that has no event yet waits at its engine or has its prompt processed
/// there, as the engine's reports tell.
///
/// Reports list neither kind of run, only their numbers and the size of the first prompt that
/// waits.
class EngineQueuePlace
{
public:
    enum class State : std::uint8_t {
        Unknown,   ///< no report tells
        Waiting,   ///< the engine has not begun with it
        Processed, ///< the engine processes its prompt
    };

    /// \brief The run is sent to an engine.
    void start(TimePoint now);
    /// \brief The engine reported.
    /// \param promptTokens of the run
    /// \param promptTime that the engine is expected to take for it
    void record(const ServerProbeResult &report, std::uint64_t promptTokens, Duration promptTime,
                TimePoint now);

    State state() const { return m_state; }
    /// \brief Prompts before that of the waiting run; one in processing counts as half.
    double promptsAhead() const { return m_promptsAhead; }
    /// \brief Time for which reports showed the run waiting without one prompt less before it; 0:
    /// it does not wait.
    Duration standstill(TimePoint now) const;
    /// \brief Time from the start to the latest report that showed the run waiting.
    Duration waited() const { return m_waited; }

private:
    State stateBy(const ServerProbeResult &report, std::uint64_t promptTokens, Duration promptTime,
                  TimePoint now) const;

    State m_state = State::Unknown;
    bool m_wasFirst = false; ///< of those that wait
    double m_promptsAhead = 0;
    TimePoint m_startedAt;
    TimePoint m_advancedAt; ///< fewer prompts were before it, or it began to wait
    Duration m_waited {0};
};

} // namespace foxtailring
