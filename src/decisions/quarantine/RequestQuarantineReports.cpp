#include "foxtailring/decisions/quarantine/RequestQuarantine.h"

#include "CrashReportBuilder.h"
#include "ReportedRequests.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// When so many servers of a service fail at once, most suspects are cleared by their next attempt.
// Their reports wait for that, since the store would get one from each process.
constexpr std::size_t massFailureServers = 3;
constexpr std::chrono::seconds massFailureReportDelay {3};
// The clock of own reports follows the wall clock only when that is set anew, so that two readings
// of it do not change the order of what they date.
constexpr milliseconds minClockStep {500};
// News are repeated for so long in later reports: a reader that takes the newest state of the store
// in place of its history misses reports that were replaced in between.
constexpr std::chrono::seconds newsRepeatTime {5};

TimeBounds notAfter(TimeBounds bounds, TimePoint now)
{
    return {std::min(bounds.earliest, now), std::min(bounds.latest, now)};
}

} // namespace

void RequestQuarantine::setUnixOffset(milliseconds offset)
{
    m_unixOffset = offset;
    if (!m_reportOffset || std::chrono::abs(offset - *m_reportOffset) >= minClockStep)
        m_reportOffset = offset;
}

// What was at a crash before, and has not been answered lately, is hardly cleared by its next
// attempt. A part that many requests share is at most crashes and is answered all the time. A
// report that has been put off is not put off again, or failures in series would keep it back.
void RequestQuarantine::requestCrashReport(Suspects suspects, const ProvenCrash &crash,
                                           TimePoint now)
{
    const bool isRepeated =
        std::any_of(suspects.begin(), suspects.end(), [this, now](const std::string &suspect) {
            const SuspectRecord *record = m_suspects.find(suspect);
            return record && isDeciding(suspect, *record, now);
        });
    m_isReportUrgent = m_isReportUrgent || isRepeated;
    const bool isMassFailure = m_failures.countAt(crash.at, crash.service) >= massFailureServers;
    if (m_isReportUrgent || !isMassFailure)
        requestReport(now);
    else if (!std::exchange(m_isReportPutOff, true))
        m_reportAt = now + massFailureReportDelay
            + (m_hooks.massFailureDelay ? m_hooks.massFailureDelay() : Duration {0});
}

// A process that restarts gets its own report back.
void RequestQuarantine::applyReport(const CrashReport &report, TimePoint now,
                                    const ReportReception &reception)
{
    const ReporterClock clock = m_reporterClocks.read(report, reception, m_unixOffset, now);
    for (const auto &crash : report.crashes)
        addReportedCrash(crash, clock, now);
    Incarnations affected;
    for (const auto &start : report.starts) {
        SuspectRecord *record = m_suspects.find(start.suspect);
        if (!record)
            continue;
        addIncarnations(*record, affected);
        addStart(start.suspect, *record, notAfter(clock.boundsOf(start.atMs), now).latest, false);
    }
    inheritQuarantines(now);
    for (const auto &reported : report.quarantines)
        adoptQuarantine(reported, clock, now);
    updateSuspectsOf(affected, now);
}

void RequestQuarantine::addReportedCrash(const CrashReport::Crash &crash,
                                         const ReporterClock &clock, TimePoint now)
{
    Crash sighting;
    sighting.at = notAfter(clock.boundsOf(crash.atMs), now);
    sighting.service = crash.service;
    sighting.isZoneFailure = crash.isZoneFailure;
    addCrash(crash.incarnation, crash.suspects, sighting, now);
    for (const std::size_t index : crash.oneLossSuspects) {
        SuspectRecord *record =
            index < crash.suspects.size() ? m_suspects.find(crash.suspects[index]) : nullptr;
        const auto found = record ? record->crashes.find(crash.incarnation) : Crashes::iterator();
        if (record && found != record->crashes.end())
            found->second.isOneLoss = true;
    }
    for (const RequestSuspects &request : reportedRequests(crash))
        addRequest(request);
    updateQuarantines(crash.suspects, now);
}

void RequestQuarantine::adoptQuarantine(const CrashReport::Quarantine &reported,
                                        const ReporterClock &clock, TimePoint now)
{
    const TimeBounds end = clock.boundsOf(reported.untilMs);
    const Duration left = end.latest - now;
    const milliseconds whole(reported.untilMs - reported.sinceMs);
    // The reporter's clock may be known by wall clocks alone.
    const Duration longest = whole + ReporterClocks::maxWallClockDifference;
    const bool isCredible = whole <= m_settings.maxQuarantine && left <= longest
        && quarantineCount() < m_settings.maxQuarantines;
    if (!isCredible)
        return;
    // It has begun by now, whatever the bounds are.
    const auto time = std::min<Duration>(left, whole);
    const TimePoint since = notAfter(clock.boundsOf(reported.sinceMs), now).latest;
    const auto started = m_starts.lastStart(reported.suspect);
    if (time <= Duration {0} || (started && *started > since))
        return;
    SuspectRecord *record = m_suspects.findOrAdd(reported.suspect);
    if (!record || record->startedAt > since)
        return;
    SuspectRecord::Quarantine &quarantine = record->quarantine;
    const bool isNew = !quarantine.isInForce;
    // One that is in force here may be the same, so a report that wall clocks alone date prolongs
    // it only if its end is surely later.
    const bool isExact = end.latest - end.earliest < ReporterClocks::maxWallClockDifference;
    const TimePoint until = isNew || isExact ? now + time : std::min(now + time, end.earliest);
    const bool isNews = isNew || quarantine.until < until;
    // Starts here have cleared the suspect of the crashes behind the quarantine.
    const bool isCleared =
        record->crashes.empty() && m_attribution.startLevel(reported.suspect, *record, now) > 0;
    if (!isNews || isCleared)
        return;
    quarantine.isInForce = true;
    quarantine.since = isNew ? since : std::min(quarantine.since, since);
    quarantine.until = until;
    quarantine.count = std::max(quarantine.count, 1U);
    if (isNew && m_hooks.onQuarantined)
        m_hooks.onQuarantined(reported.suspect, m_attribution.crashCount(reported.suspect, *record),
                              record->evidenceText(), time);
}

std::optional<CrashReport> RequestQuarantine::takeDueReport(TimePoint now, bool mayTellLoneSuspects)
{
    if (!wantsReport(now) || (!mayTellLoneSuspects && !m_isReportUrgent))
        return std::nullopt;
    // The rest of the news stays due.
    m_reportAt = mayTellLoneSuspects ? TimePoint::max() : now;
    m_isReportUrgent = false;
    m_isReportPutOff = false;
    const TimePoint newsSince = std::min<TimePoint>(now - newsRepeatTime, m_takenAt);
    CrashReportBuilder builder(m_suspects, newsSince,
                               [this](TimePoint time) { return toReportMs(time); });
    if (!mayTellLoneSuspects)
        builder.tellOnly([this, now](const std::string &suspect, const SuspectRecord &record) {
            return isDeciding(suspect, record, now);
        });
    CrashReport report = builder.build();
    if (report == m_published)
        return std::nullopt;
    m_published = report;
    if (mayTellLoneSuspects)
        m_previousTakenAt = std::exchange(m_takenAt, now);
    report.dating = {m_reportOffset.value_or(milliseconds(0)).count(), toReportMs(now)};
    return report;
}

void RequestQuarantine::onReportNotPublished()
{
    m_published = {};
    m_reportAt = TimePoint {};
    m_takenAt = m_previousTakenAt;
}

std::int64_t RequestQuarantine::toReportMs(TimePoint time) const
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count()
        + m_reportOffset.value_or(milliseconds(0)).count();
}

} // namespace foxtailring
