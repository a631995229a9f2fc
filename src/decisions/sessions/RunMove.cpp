#include "foxtailring/decisions/sessions/RunMove.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/admission/RunAdmission.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/decisions/sessions/FirstEventTimes.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"
#include "foxtailring/decisions/sessions/ForwardRequest.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Each move takes a retry, which runs at engines that fail need more.
constexpr std::uint32_t maxMoves = 2;
// Covers the questions to other engines and the errors of the estimates. The next run of an engine
// may have been begun since its report, so it leaves slow engines only.
constexpr milliseconds minMoveGain {300};
constexpr double minMoveGainFraction = 0.75;
// Engines that were asked in vain are as busy a few reports later.
constexpr milliseconds searchInterval {1000};

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(Seconds(duration) * factor);
}

bool isClearlySooner(Duration elsewhere, Duration here)
{
    const Duration gain = std::max<Duration>(minMoveGain, scaled(elsewhere, minMoveGainFraction));
    return elsewhere + gain <= here;
}

} // namespace

RunMove::RunMove(const ForwardContext &context, const ForwardRequest &request,
                 const std::string &service)
    : m_context(context)
    , m_request(request)
    , m_service(service)
{
}

void RunMove::start(const BackendState &server, TimePoint now)
{
    if (!m_context.runs)
        return;
    if (m_isSearching)
        recordMoved();
    m_previous = std::exchange(m_attempt, {});
    m_attempt.place.start(now);
    m_attempt.serverId = server.info.id;
    m_attempt.sentAt = now;
    const RunRoom &room = m_context.runs->room();
    const std::uint32_t ahead =
        server.load ? room.promptsAhead(server.info.id, *server.load, server.loadAge, now) : 0;
    m_attempt.expected = scaled(promptTime() + ahead * room.usualPromptTime(m_service),
                                relativeDuration(server.info.id, now));
}

void RunMove::returnToPrevious()
{
    m_isSearching = false;
    m_attempt = m_previous;
}

Duration RunMove::promptTime() const
{
    return m_context.runs->room().promptTime(m_service, m_request.promptTokens);
}

double RunMove::relativeDuration(const std::string &serverId, TimePoint now) const
{
    const auto server = m_context.servers.server(serverId, now);
    return server ? server->pace.relativeDuration * server->relativeRunTime : 1;
}

// An engine at which nothing advances for longer than a prompt takes is slower than was known.
Duration RunMove::expectedHere(TimePoint now) const
{
    const Duration usual = m_context.runs->room().usualPromptTime(m_service);
    const double observed = Seconds(m_attempt.place.standstill(now)) / Seconds(usual);
    const double relative = std::max(relativeDuration(m_attempt.serverId, now), observed);
    return scaled(promptTime() + scaled(usual, m_attempt.place.promptsAhead()), relative);
}

// All gateways see the same reports, and so do the runs that wait there. If each moved, the engine
// would run out of work and the next one would be short of it, so about one of them moves a look.
bool RunMove::startSearch(const ServerProbeResult &report, TimePoint now)
{
    if (!m_context.runs || m_request.promptTokens == 0)
        return false;
    m_attempt.place.record(report, m_request.promptTokens,
                           scaled(promptTime(), relativeDuration(m_attempt.serverId, now)), now);
    if (m_attempt.place.state() != EngineQueuePlace::State::Waiting || m_moves >= maxMoves
        || now < m_notBefore)
        return false;
    m_explanation = {};
    m_explanation.service = m_service;
    m_explanation.serverId = m_attempt.serverId;
    m_explanation.promptsAhead = m_attempt.place.promptsAhead();
    m_explanation.relativeDuration = relativeDuration(m_attempt.serverId, now);
    m_explanation.waited = m_attempt.place.waited();
    m_explanation.expectedHere = expectedHere(now);
    if (!isClearlySooner(promptTime(), m_explanation.expectedHere)
        || m_context.random.bounded(std::max<std::uint32_t>(report.load.waiting, 1)) != 0)
        return false;
    m_isSearching = true;
    m_accepted.clear();
    explain(RunMoveExplanation::Decision::Searching);
    return true;
}

bool RunMove::accepts(const ServerProbeResult &report, TimePoint now)
{
    if (m_context.runs->room().promptsAhead(report.serverId, report.load, Duration {0}, now) > 0)
        return false;
    const Duration there = scaled(promptTime(), relativeDuration(report.serverId, now));
    Duration &best = m_explanation.expectedElsewhere;
    best = best == Duration {0} ? there : std::min(best, there);
    if (!isClearlySooner(there, m_explanation.expectedHere))
        return false;
    m_accepted.push_back(report.serverId);
    return true;
}

bool RunMove::allows(const std::string &serverId) const
{
    return !m_isSearching
        || std::find(m_accepted.begin(), m_accepted.end(), serverId) != m_accepted.end();
}

bool RunMove::keep(TimePoint now)
{
    if (!std::exchange(m_isSearching, false))
        return false;
    m_notBefore = now + searchInterval;
    explain(RunMoveExplanation::Decision::Kept);
    return true;
}

void RunMove::recordMoved()
{
    m_isSearching = false;
    ++m_moves;
    explain(RunMoveExplanation::Decision::Moved);
}

void RunMove::recordFirstEvent(TimePoint now)
{
    keep(now);
    if (!m_context.runs || !m_context.onFirstEvent)
        return;
    FirstEventTimes times;
    times.service = m_service;
    times.serverId = m_attempt.serverId;
    times.expected = m_attempt.expected;
    times.real = now - m_attempt.sentAt;
    times.engineWait = m_attempt.place.waited();
    times.moves = m_moves;
    m_context.onFirstEvent(times);
}

void RunMove::explain(RunMoveExplanation::Decision decision) const
{
    if (!m_context.onRunMove)
        return;
    RunMoveExplanation explanation = m_explanation;
    explanation.decision = decision;
    m_context.onRunMove(explanation);
}

} // namespace foxtailring
