#include "foxtailring/decisions/admission/RunAdmission.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/admission/RunClaim.h"
#include "foxtailring/decisions/servers/BackendState.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Fractions of an engine's memory that runs may fill. The outputs of the runs that are there grow
// into the rest. Between two urgencies there is room for one usual run, down to a fraction at which
// engines still serve nearly as many runs a second.
constexpr double maxShare = 0.86;
constexpr double shareStep = 0.1;
constexpr double minShare = 0.6;
constexpr double maxShareOfLate = 0.55;
// One run in so many does not yield, so that no class of runs starves.
constexpr std::uint64_t runsPerEqualRun = 8;
// An urgency with at least this fraction of the recent runs needs the room of a whole step.
constexpr double fractionOfAWholeStep = 0.15;
// Callers' longest timeout on a route is forgotten after this time.
constexpr std::chrono::seconds timeoutMemory {30};
constexpr double takenAveragingSeconds = 4;
constexpr double minTakenPerSecond = 0.2;
// Callers wait for no more than this fraction of the time they have left.
constexpr int returnTimeDivisor = 3;
constexpr milliseconds minReturn {250};
// Differences of a caller's timeout below this are due to its own delays.
constexpr milliseconds minTimeUsed {200};
// More prompts than these are waited for at the gateway, from where a run can go to any engine.
constexpr std::uint32_t maxPromptsAhead = 1;

} // namespace

RunAdmission::RunAdmission(RandomSource &random)
    : m_random(random)
{
}

bool RunAdmission::drawYields()
{
    return m_random.bounded(runsPerEqualRun) != 0;
}

bool RunAdmission::drawUsesRoom(const RunClaim &claim, TimePoint now)
{
    const double fraction =
        m_contention.usableFraction(claim.service, fractionAsUrgent(claim, now), now);
    return fraction >= 1 || m_random.generateDouble() < fraction;
}

// Engines process the prompts of more urgent runs first, so that these compete with one another
// only.
double RunAdmission::fractionAsUrgent(const RunClaim &claim, TimePoint now) const
{
    const auto service = m_services.find(claim.service);
    if (!claim.urgency || service == m_services.end())
        return 1;
    double total = 0;
    double asUrgent = 0;
    for (const auto &[urgency, arrivals] : service->second.arrivals) {
        const double perSecond = arrivals.perSecond(now);
        total += perSecond;
        asUrgent += urgency <= *claim.urgency ? perSecond : 0;
    }
    return total > 0 ? asUrgent / total : 1;
}

void RunAdmission::recordArrival(const RunClaim &claim, TimePoint now)
{
    if (claim.urgency)
        m_services[claim.service].arrivals[*claim.urgency].record(now);
    if (!claim.account.empty())
        m_accounts.record(claim.service + ' ' + claim.account, now);
    if (!claim.promptId.empty())
        m_prompts.record(claim.promptId, now);
}

Duration RunAdmission::timeUsedBefore(std::string_view route, Duration callerTimeout, TimePoint now)
{
    LongestTimeout &longest = m_timeouts[std::string(route)];
    if (callerTimeout >= longest.timeout || now - longest.at >= timeoutMemory)
        longest = {callerTimeout, now};
    const Duration used = longest.timeout - callerTimeout;
    return used < minTimeUsed ? Duration {0} : used;
}

double RunAdmission::urgenciesBefore(const RunClaim &claim, TimePoint now) const
{
    const auto service = m_services.find(claim.service);
    if (!claim.urgency || service == m_services.end())
        return 0;
    double total = 0;
    for (const auto &[urgency, arrivals] : service->second.arrivals)
        total += arrivals.perSecond(now);
    double before = 0;
    for (const auto &[urgency, arrivals] : service->second.arrivals) {
        if (urgency < *claim.urgency && total > 0)
            before += std::min(arrivals.perSecond(now) / total / fractionOfAWholeStep, 1.0);
    }
    return before;
}

bool RunAdmission::isLate(const RunClaim &claim, TimePoint now) const
{
    return now + m_room.promptTime(claim.service, claim.promptTokens) > claim.objectiveEnd;
}

double RunAdmission::maxMemoryShare(const RunClaim &claim, TimePoint now) const
{
    if (!claim.yields)
        return maxShare;
    if (isLate(claim, now))
        return maxShareOfLate;
    const bool isBeyond = m_accounts.isBeyondShare(claim.service + ' ' + claim.account, now)
        || m_prompts.isBeyondShare(claim.promptId, now);
    const double steps = urgenciesBefore(claim, now) + (isBeyond ? 1 : 0);
    return std::max(maxShare - steps * shareStep, minShare);
}

RunAdmission::Obstacle RunAdmission::obstacleAt(const BackendState &server,
                                                const BackendLoadReport &load,
                                                const RunClaim &claim, TimePoint now) const
{
    const RunRoom::Finding finding =
        m_room.find(server, load, Duration {0}, claim.promptTokens, claim.tokens(), now);
    if (!finding.isKnown)
        return Obstacle::None;
    // With the usual size of a run for all, large ones are not the first that find no room, as
    // long as they fit. An empty engine takes any run: there will be no more room.
    const bool isEmpty = load.running + load.waiting == 0;
    const double needed = finding.memoryShare + m_room.usualMemoryShare(claim.service);
    if (!isEmpty && (!finding.hasSlot || needed > maxMemoryShare(claim, now)))
        return Obstacle::Memory;
    const std::uint32_t ahead = promptsAheadOf(claim, finding, load, now);
    if (ahead == 0 || isLate(claim, now))
        return Obstacle::None;
    const Duration firstEvent = (ahead + 1) * m_room.promptTime(claim.service, claim.promptTokens);
    const bool isInTime = now + firstEvent <= claim.objectiveEnd;
    return isInTime && ahead <= maxPromptsAhead ? Obstacle::None : Obstacle::Prompts;
}

// An engine that is told the urgency processes the prompts of the most urgent runs first, but for
// the one that it has begun.
std::uint32_t RunAdmission::promptsAheadOf(const RunClaim &claim, const RunRoom::Finding &finding,
                                           const BackendLoadReport &load, TimePoint now) const
{
    const bool isFirst = claim.urgency && urgenciesBefore(claim, now) < 1;
    return isFirst ? std::min(load.prefilling, finding.promptsAhead) : finding.promptsAhead;
}

void RunAdmission::recordTaken(const RunClaim &claim, TimePoint now)
{
    Service &service = m_services[claim.service];
    const double elapsed = Seconds(now - service.takenAt).count();
    service.takenPerSecond = service.takenPerSecond * std::exp(-elapsed / takenAveragingSeconds)
        + 1 / takenAveragingSeconds;
    service.takenAt = now;
    m_room.recordRun(claim.service, claim.tokens());
}

Duration RunAdmission::recordRefused(const RunClaim &claim, TimePoint now)
{
    Service &service = m_services[claim.service];
    const double perSecond = std::max(service.takenPerSecond, minTakenPerSecond);
    const auto interval = std::chrono::duration_cast<Duration>(Seconds(1 / perSecond));
    const TimePoint returnAt = std::max(now + minReturn, service.lastReturnAt + interval);
    const Duration longest =
        std::max<Duration>((claim.deadline - now) / returnTimeDivisor, minReturn);
    const Duration firstEvent = m_room.promptTime(claim.service, claim.promptTokens);
    const bool isInTime = returnAt + firstEvent <= claim.objectiveEnd && returnAt <= now + longest;
    if (isInTime) {
        service.lastReturnAt = returnAt;
        return returnAt - now;
    }
    // It will be late, and is spread over the second half of the time that it waits for.
    const double fraction = 0.5 + m_random.generateDouble() / 2;
    return std::chrono::duration_cast<Duration>(Seconds(longest) * fraction);
}

} // namespace foxtailring
