#include "foxtailring/decisions/membership/ReporterClocks.h"

#include "foxtailring/decisions/membership/ReportReception.h"
#include "foxtailring/decisions/quarantine/CrashReport.h"

#include <algorithm>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// From the time that a report shows to its write in the store. A store that is down longer delays
// its confirmations as well.
constexpr milliseconds maxWriteTime {500};
// Three times the largest fleet that is tested.
constexpr std::size_t maxReporters = 1024;

ReporterClock wallClock(milliseconds unixOffset)
{
    const auto difference = ReporterClocks::maxWallClockDifference;
    return ReporterClock(-unixOffset - difference, -unixOffset + difference);
}

// A report that was in the store before this process asked has no earliest time of its own.
ReporterClock clockOf(const CrashReport::Dating &dating, TimePoint writtenAfter,
                      const ReporterClock &wall, TimePoint now)
{
    const TimePoint wallEarliest = wall.boundsOf(dating.sentMs).earliest;
    const TimePoint earliest =
        writtenAfter == TimePoint {} ? wallEarliest : writtenAfter - maxWriteTime;
    auto clock = ReporterClock::thatShowed(dating.sentMs, {std::min(earliest, now), now});
    clock.narrow(wall);
    return clock;
}

} // namespace

ReporterClock ReporterClocks::read(const CrashReport &report, const ReportReception &reception,
                                   milliseconds unixOffset, TimePoint now)
{
    const ReporterClock wall = wallClock(unixOffset);
    if (!report.dating)
        return wall;
    const ReporterClock shown = clockOf(*report.dating, reception.writtenAfter, wall, now);
    auto found = m_known.find(reception.reporter);
    if (found == m_known.end()) {
        makeRoom();
        found =
            m_known.insert({std::string(reception.reporter), {report.dating->clockId, shown, now}})
                .first;
    }
    Known &known = found->second;
    if (known.id == report.dating->clockId)
        known.clock.narrow(shown);
    else
        known = {report.dating->clockId, shown, now};
    known.readAt = now;
    return known.clock;
}

void ReporterClocks::makeRoom()
{
    if (m_known.size() < maxReporters)
        return;
    const auto isReadBefore = [](const auto &one, const auto &other) {
        return one.second.readAt < other.second.readAt;
    };
    m_known.erase(std::min_element(m_known.begin(), m_known.end(), isReadBefore));
}

} // namespace foxtailring
