#include "foxtailring/decisions/sessions/EngineQueuePlace.h"

#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include <algorithm>

namespace foxtailring {

namespace {

// Of a prompt in processing, half is left on average.
constexpr double processingPrompt = 0.5;
// A run of which nothing is known was not the next one when it arrived if it has no event after
// this many times of its prompt.
constexpr double promptTimesOfTheNextRun = 1.5;
// With as many prompts that wait, a run of which nothing is known is hardly the one in processing.
constexpr std::uint32_t manyWaiting = 3;

} // namespace

void EngineQueuePlace::start(TimePoint now)
{
    *this = {};
    m_startedAt = now;
}

void EngineQueuePlace::record(const ServerProbeResult &report, std::uint64_t promptTokens,
                              Duration promptTime, TimePoint now)
{
    const State before = m_state;
    m_state = stateBy(report, promptTokens, promptTime, now);
    m_wasFirst = m_wasFirst || report.firstWaitingTokens == promptTokens;
    if (m_state != State::Waiting)
        return;
    const bool isFirst = report.firstWaitingTokens == promptTokens;
    const double waitingAhead = isFirst ? 0 : report.load.waiting - 1.0;
    // An engine that processes no prompt waits for memory, which is free when a run ends.
    const double ahead =
        waitingAhead + processingPrompt * std::max<std::uint32_t>(report.load.prefilling, 1);
    if (before != State::Waiting)
        m_advancedAt = m_startedAt;
    else if (ahead < m_promptsAhead)
        m_advancedAt = now;
    m_promptsAhead = ahead;
    m_waited = now - m_startedAt;
}

// Prompts are processed in the order of their arrival, after those of more urgent runs. So a run
// that was the first to wait, and is not any more, is processed.
EngineQueuePlace::State EngineQueuePlace::stateBy(const ServerProbeResult &report,
                                                  std::uint64_t promptTokens, Duration promptTime,
                                                  TimePoint now) const
{
    const BackendLoadReport &load = report.load;
    if (report.hasRun || load.waiting == 0)
        return load.prefilling > 0 || report.hasRun ? State::Processed : State::Unknown;
    if (!report.firstWaitingTokens)
        return State::Unknown;
    if (*report.firstWaitingTokens == promptTokens)
        return State::Waiting;
    if (m_wasFirst || m_state == State::Processed || load.waiting == 1)
        return State::Processed;
    if (load.waiting >= manyWaiting)
        return State::Waiting;
    const auto limit = std::chrono::duration<double>(promptTime) * promptTimesOfTheNextRun;
    return now - m_startedAt > limit ? State::Waiting : State::Unknown;
}

Duration EngineQueuePlace::standstill(TimePoint now) const
{
    return m_state == State::Waiting ? now - m_advancedAt : Duration {0};
}

} // namespace foxtailring
