#include "foxtailring/decisions/sessions/RunEntry.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/admission/RoomExplanation.h"
#include "foxtailring/decisions/configuration/HttpRoute.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/decisions/sessions/ForwardContext.h"
#include "foxtailring/decisions/sessions/ForwardRequest.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A run waits at the gateway for this fraction of its objective at most. Its caller still has most
// of it then, for a return.
constexpr int waitDivisor = 10;
// The longest wait for a run that has more time.
constexpr milliseconds maxWait {500};
// Reports lag by some hundred ms. With more looks in that time, all runs that wait would find the
// same room, and the engine that has it would get several of them.
constexpr milliseconds roomLookInterval {250};
constexpr milliseconds roomLookSpread {100};
// A look lasts until the engines have answered, and belongs to the wait.
constexpr milliseconds maxLookTime {60};

} // namespace

RunEntry::RunEntry(const ForwardContext &context, const HttpRoute &route,
                   const ForwardRequest &request, const std::string &service)
    : m_context(context)
    , m_route(route)
    , m_request(request)
    , m_service(service)
{
}

void RunEntry::arrive(TimePoint now)
{
    const Duration timeout = m_request.callerTimeout.value_or(m_route.timeout);
    RunClaim claim;
    claim.service = m_service;
    claim.account = m_request.account;
    claim.promptId = m_request.promptId;
    claim.urgency = m_request.urgency;
    claim.promptTokens = m_request.promptTokens;
    claim.outputTokens = m_request.maxOutputTokens;
    claim.yields = m_context.runs->drawYields();
    claim.objectiveEnd = m_request.arrivedAt + m_route.latencyObjective
        - m_context.runs->timeUsedBefore(m_route.name, timeout, now);
    claim.deadline = m_request.arrivedAt + std::min<Duration>(timeout, m_route.timeout);
    m_context.runs->recordArrival(claim, now);
    m_claim = std::move(claim);
    startLook(now);
}

void RunEntry::startLook(TimePoint now)
{
    PlacementContention &contention = m_context.runs->contention();
    if (contention.needsEngineCount(m_service, now))
        contention.setEngineCount(m_service, m_context.servers.candidates(m_service, now).size(),
                                  now);
    m_usesRoom = m_context.runs->drawUsesRoom(*m_claim, now);
    m_hasFound = false;
}

bool RunEntry::hasRoom(const ServerProbeResult &report, TimePoint now)
{
    const auto server = m_context.servers.server(report.serverId, now);
    if (!m_context.runs || !server || m_request.promptTokens == 0)
        return true;
    if (!m_claim)
        arrive(now);
    m_context.runs->room().recordReport(m_service, report.load);
    const auto obstacle = m_context.runs->obstacleAt(*server, report.load, *m_claim, now);
    m_withoutMemory += obstacle == RunAdmission::Obstacle::Memory ? 1 : 0;
    m_withPromptsAhead += obstacle == RunAdmission::Obstacle::Prompts ? 1 : 0;
    const bool isFree = obstacle == RunAdmission::Obstacle::None;
    m_context.runs->contention().recordAsked(m_service, isFree);
    if (isFree && !std::exchange(m_hasFound, true))
        m_context.runs->contention().recordFound(m_service, now);
    m_leftToOthers += isFree && !m_usesRoom ? 1 : 0;
    return isFree && m_usesRoom;
}

void RunEntry::report(Duration returnAfter, TimePoint now)
{
    RoomExplanation explanation;
    explanation.urgency = m_claim->urgency;
    explanation.isLate = m_context.runs->isLate(*m_claim, now);
    explanation.maxMemoryShare = m_context.runs->maxMemoryShare(*m_claim, now);
    explanation.meanMemoryShare = m_context.runs->room().meanMemoryShare(m_service);
    explanation.withoutMemory = std::exchange(m_withoutMemory, 0);
    explanation.withPromptsAhead = std::exchange(m_withPromptsAhead, 0);
    explanation.leftToOthers = std::exchange(m_leftToOthers, 0);
    explanation.returnAfter = returnAfter;
    if (m_context.onNoRoom)
        m_context.onNoRoom(explanation);
}

bool RunEntry::wait(TimePoint now)
{
    const Duration longest = std::min<Duration>(m_route.latencyObjective / waitDivisor, maxWait);
    const TimePoint until = m_request.arrivedAt + longest;
    const auto spread = static_cast<std::uint64_t>(roomLookSpread.count());
    const TimePoint earliest = now + roomLookInterval;
    const TimePoint next = std::min<TimePoint>(
        earliest + milliseconds(m_context.random.bounded(spread)), until - maxLookTime);
    if (next < earliest) {
        endWait();
        return false;
    }
    if (++m_looks == 1 && m_claim)
        report(Duration {0}, now);
    m_lookAt = next;
    if (m_claim)
        startLook(now);
    return true;
}

Duration RunEntry::refuse(TimePoint now)
{
    endWait();
    if (!m_claim)
        return Duration {0};
    const Duration returnAfter = m_context.runs->recordRefused(*m_claim, now);
    report(returnAfter, now);
    return returnAfter;
}

void RunEntry::recordSent(SendAttempt &attempt, bool isBegun, TimePoint now)
{
    endWait();
    if (!m_context.runs)
        return;
    RunRoom &room = m_context.runs->room();
    if (m_claim)
        m_context.runs->recordTaken(*m_claim, now);
    const BackendState &server = attempt.server;
    m_promptsAhead =
        server.load ? room.promptsAhead(server.info.id, *server.load, server.loadAge, now) : 0;
    const std::uint64_t tokens = m_request.promptTokens + m_request.maxOutputTokens;
    room.recordPlaced(server.info.id, tokens, now);
    if (attempt.copyTo)
        room.recordPlaced(attempt.copyTo->info.id, tokens, now);
    // A begun answer is late after one pause, so it goes before the prompts of new ones.
    attempt.urgency = m_request.urgency && isBegun ? 0 : m_request.urgency;
}

void RunEntry::recordFirstEvent(Duration delay)
{
    if (m_context.runs)
        m_context.runs->room().recordFirstEvent(m_service, m_request.promptTokens, m_promptsAhead,
                                                delay);
}

} // namespace foxtailring
