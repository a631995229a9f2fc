#include "foxtailring/decisions/sessions/ResumeWait.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/admission/RetryBudget.h"
#include "foxtailring/decisions/configuration/HttpRoute.h"

#include <algorithm>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// The caller of a stream gives up after the longest of these gaps between two events.
constexpr milliseconds minCallerGap {2000};
constexpr int callerGapObjectives = 4;
constexpr int callerGapEventGaps = 8;
// The retry budget changes with each request and each second. At the longest interval, a run that
// can no longer end in time is noticed and a server that was just listed is found.
constexpr milliseconds minLookInterval {100};
constexpr milliseconds maxLookInterval {400};
// Keeps streams that lost the same server from looking together.
constexpr milliseconds lookSpread {100};

Duration maxGapOf(const HttpRoute &route)
{
    return std::max({minCallerGap, callerGapObjectives * route.latencyObjective,
                     callerGapEventGaps * route.usedEventGap()});
}

} // namespace

ResumeWait::ResumeWait(const HttpRoute &route, const std::string &service, RetryBudget &budget,
                       RandomSource &random)
    : m_maxGap(maxGapOf(route))
    , m_service(service)
    , m_budget(budget)
    , m_random(random)
{
}

ResumeWait::~ResumeWait()
{
    end();
}

bool ResumeWait::start(std::string_view reason, Duration needed, TimePoint now)
{
    if (!m_isActive)
        m_budget.addWaiting(m_service);
    const bool isNew = !m_isActive || reason != m_reason;
    m_isActive = true;
    m_reason = reason;
    const auto spread = static_cast<std::uint64_t>(lookSpread.count());
    m_lookAt = now + std::clamp<Duration>(needed, minLookInterval, maxLookInterval)
        + milliseconds(m_random.bounded(spread));
    return isNew;
}

void ResumeWait::end()
{
    if (m_isActive)
        m_budget.removeWaiting(m_service);
    m_isActive = false;
}

TimePoint ResumeWait::nextLook() const
{
    return m_isActive ? std::min(m_lookAt, callerLeavesAt()) : TimePoint::max();
}

} // namespace foxtailring
