#include "foxtailring/decisions/quarantine/RequestQuarantine.h"

#include "foxtailring/protocol/RequestDigest.h"

#include "CrashReportBuilder.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A request that tries a suspect has begun or failed by then.
constexpr std::chrono::seconds maxTrialDuration {10};
// When so many servers of a service fail at once, most suspects are cleared by their next attempt.
// Their reports wait for that, since the store would get one from each process.
constexpr std::size_t massFailureServers = 3;
constexpr std::chrono::seconds massFailureReportDelay {3};
// Suspects of one request: the prompt parts at the beginning and those at the end, with the request
// itself. A caller could otherwise fill the table with one request.
constexpr std::size_t maxSuspectsPerEnd = 16;
// More crashes that a whole request needs for each order of magnitude of its recent answers.
constexpr std::size_t crashesPerStartLevel = 2;
// Starts long before do not protect a request that crashes one server after the other.
constexpr std::size_t maxRequestCrashes = 9;
// Walks through all suspects, so not at each call.
constexpr milliseconds expiryInterval {500};
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

RequestQuarantine::RequestQuarantine()
    : RequestQuarantine(Settings {})
{
}

RequestQuarantine::RequestQuarantine(Settings settings)
    : m_settings(settings)
    , m_failures(settings.minCrashInterval, settings.evidenceLifetime)
    , m_suspects(settings.maxSuspects)
    , m_attribution(m_suspects, m_failures, m_starts)
{
}

void RequestQuarantine::setUnixOffset(milliseconds offset)
{
    m_unixOffset = offset;
    if (!m_reportOffset || std::chrono::abs(offset - *m_reportOffset) >= minClockStep)
        m_reportOffset = offset;
}

void RequestQuarantine::recordCrash(const std::string &incarnation, Suspects suspects,
                                    const ProvenCrash &crash, TimePoint now)
{
    if (suspects.empty())
        return;
    m_failures.record(incarnation, crash.service, crash.at, now);
    Crash sighting;
    sighting.at = {crash.at, crash.at};
    sighting.service = crash.service;
    sighting.isOwn = true;
    sighting.evidence = crash.evidence;
    sighting.askedPeers = crash.askedPeers;
    sighting.failedPeers = crash.failedPeers;
    sighting.newsAt = now;
    addCrash(incarnation, suspects, sighting, now);
    requestCrashReport(suspects, crash, now);
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

bool RequestQuarantine::isDeciding(const std::string &suspect, const SuspectRecord &record,
                                   TimePoint now) const
{
    return record.crashes.size() > 1 && m_attribution.startLevel(suspect, record, now) == 0;
}

void RequestQuarantine::addCrash(const std::string &incarnation, Suspects suspects,
                                 const Crash &sighting, TimePoint now)
{
    if (now - sighting.at.latest >= m_settings.evidenceLifetime)
        return;
    for (std::size_t position = 0; position < suspects.size(); ++position) {
        const std::string &suspect = suspects[position];
        const bool isInMiddle =
            position >= maxSuspectsPerEnd && position + maxSuspectsPerEnd < suspects.size();
        SuspectRecord *record = isInMiddle ? nullptr : m_suspects.findOrAdd(suspect);
        if (!record || !mayBeDueTo(suspect, *record, sighting, now))
            continue;
        Crash *crash = m_suspects.findOrAddCrash(suspect, incarnation, sighting);
        if (!crash)
            continue;
        addSighting(*crash, sighting);
        crash->position = std::max(crash->position, position);
    }
    // Only now are all suspects known that may explain each other.
    for (const std::string &suspect : suspects) {
        if (SuspectRecord *record = m_suspects.find(suspect))
            updateQuarantine(suspect, *record, now);
    }
}

bool RequestQuarantine::mayBeDueTo(const std::string &suspect, SuspectRecord &record,
                                   const Crash &sighting, TimePoint now)
{
    const auto started = m_starts.lastStart(suspect);
    if (started && *started > record.startedAt) {
        record.startedAt = *started;
        record.isOwnStart = true;
    }
    if (record.startedAt < sighting.at.earliest)
        return true;
    // Another process has the suspect: it is told of the start.
    if (!sighting.isOwn && record.isOwnStart) {
        record.startNewsAt = now;
        if (m_reportAt == TimePoint::max())
            m_reportAt = now + (m_hooks.clearingDelay ? m_hooks.clearingDelay() : Duration {0});
    }
    return false;
}

// Several processes see the end of one server, some of them late: the first sighting counts. What
// this process saw itself is exact, and reports do not blur it.
void RequestQuarantine::addSighting(Crash &crash, const Crash &sighting)
{
    const TimeBounds at = sighting.at;
    const bool isOwn = sighting.isOwn;
    const bool isSurelyEarlier = at.latest < crash.at.earliest;
    const bool isSurelyLater = at.earliest > crash.at.latest;
    const bool isMoreExact = isOwn && !crash.isOwn && !isSurelyLater;
    if (isSurelyEarlier || isMoreExact)
        crash.at = at;
    else if (!crash.isOwn && !isOwn)
        crash.at = {std::min(crash.at.earliest, at.earliest), std::min(crash.at.latest, at.latest)};
    if (crash.service.empty())
        crash.service = sighting.service;
    if (isOwn && !std::exchange(crash.isOwn, true)) {
        crash.evidence = sighting.evidence;
        crash.askedPeers = sighting.askedPeers;
        crash.failedPeers = sighting.failedPeers;
    }
    crash.newsAt = std::max(crash.newsAt, sighting.newsAt);
    crash.isZoneFailure = crash.isZoneFailure && sighting.isZoneFailure;
}

void RequestQuarantine::withdrawCrash(std::string_view incarnation)
{
    m_failures.withdraw(std::string(incarnation));
    const SuspectTable::Names suspects = m_suspects.suspectsOf(incarnation);
    for (const std::string &suspect : suspects) {
        SuspectRecord &record = *m_suspects.find(suspect);
        if (!record.crashes.find(incarnation)->second.isOwn)
            continue;
        m_suspects.removeCrash(suspect, incarnation);
        const bool isRefuted = m_attribution.crashCount(suspect, record) < minCrashes(suspect);
        if (record.quarantine.isInForce && isRefuted)
            release(suspect, record, "refuted");
        m_reportAt = TimePoint {};
    }
}

void RequestQuarantine::recordStart(Suspects suspects, TimePoint now)
{
    bool hasCleared = false;
    bool hasReleased = false;
    Incarnations affected;
    for (const std::string &suspect : suspects) {
        m_starts.record(suspect, now);
        SuspectRecord *record = m_suspects.find(suspect);
        if (!record)
            continue;
        const bool isNews = record->quarantine.isInForce || !record->crashes.empty();
        hasReleased = hasReleased || record->quarantine.isInForce;
        hasCleared = hasCleared || isNews;
        if (isNews)
            record->startNewsAt = now;
        addIncarnations(*record, affected);
        addStart(suspect, *record, now, true);
    }
    if (!hasCleared)
        return;
    if (hasReleased || m_reportAt == TimePoint::max())
        m_reportAt = now;
    updateSuspectsOf(affected, now);
}

void RequestQuarantine::addStart(const std::string &suspect, SuspectRecord &record, TimePoint at,
                                 bool isOwn)
{
    if (at <= record.startedAt)
        return;
    record.startedAt = at;
    record.isOwnStart = isOwn;
    const std::size_t cleared = m_suspects.removeCrashes(
        suspect, [at](const Crash &crash) { return crash.at.earliest <= at; });
    // A quarantine begins later than its crashes, so a start before it may have disproved them all.
    const bool isDisproved =
        at > record.quarantine.since || (cleared > 0 && record.crashes.empty());
    if (record.quarantine.isInForce && isDisproved)
        release(suspect, record, "started");
    if (!record.quarantine.isInForce) {
        record.quarantine.count = 0;
        record.quarantine.until = {};
    }
}

// The trials are taken last: a request that another suspect rejects tries none.
RequestQuarantine::Admission RequestQuarantine::admit(Suspects suspects, TimePoint now)
{
    std::vector<SuspectRecord::Quarantine *> trials;
    for (const std::string &suspect : suspects) {
        SuspectRecord *record = m_suspects.find(suspect);
        if (!record || !isRejecting(suspect, *record, suspects, now))
            continue;
        SuspectRecord::Quarantine &quarantine = record->quarantine;
        if (mayTry(suspect, quarantine, now)) {
            trials.push_back(&quarantine);
            continue;
        }
        if (!std::exchange(quarantine.hasRejected, true))
            requestReport(now);
        return Admission::Rejected;
    }
    for (SuspectRecord::Quarantine *tried : trials)
        tried->trialUntil = now + maxTrialDuration;
    return trials.empty() ? Admission::Admitted : Admission::Trial;
}

bool RequestQuarantine::mayTry(const std::string &suspect,
                               const SuspectRecord::Quarantine &quarantine, TimePoint now) const
{
    return now >= quarantine.until && now >= quarantine.trialUntil && m_hooks.isTrialOwner
        && m_hooks.isTrialOwner(suspect);
}

std::string_view RequestQuarantine::quarantinedSuspect(Suspects suspects, TimePoint now) const
{
    for (const std::string &suspect : suspects) {
        const SuspectRecord *record = m_suspects.find(suspect);
        if (record && isRejecting(suspect, *record, suspects, now))
            return suspect;
    }
    return {};
}

bool RequestQuarantine::isRejecting(const std::string &suspect, const SuspectRecord &record,
                                    Suspects request, TimePoint now) const
{
    return isQuarantined(record, now) && m_attribution.isAccused(suspect, record, request, now);
}

// One process tries the suspect at the end of its quarantine; the others go on for a while.
bool RequestQuarantine::isQuarantined(const SuspectRecord &record, TimePoint now) const
{
    return record.quarantine.isInForce && now < record.quarantine.until + m_settings.trialTime;
}

// A process that restarts gets its own report back.
void RequestQuarantine::applyReport(const CrashReport &report, TimePoint now,
                                    const ReportReception &reception)
{
    const ReporterClock clock = m_reporterClocks.read(report, reception, m_unixOffset, now);
    for (const auto &crash : report.crashes) {
        Crash sighting;
        sighting.at = notAfter(clock.boundsOf(crash.atMs), now);
        sighting.service = crash.service;
        sighting.isZoneFailure = crash.isZoneFailure;
        addCrash(crash.incarnation, crash.suspects, sighting, now);
    }
    Incarnations affected;
    for (const auto &start : report.starts) {
        SuspectRecord *record = m_suspects.find(start.suspect);
        if (!record)
            continue;
        addIncarnations(*record, affected);
        addStart(start.suspect, *record, notAfter(clock.boundsOf(start.atMs), now).latest, false);
    }
    for (const auto &reported : report.quarantines)
        adoptQuarantine(reported, clock, now);
    updateSuspectsOf(affected, now);
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

void RequestQuarantine::addIncarnations(const SuspectRecord &record, Incarnations &incarnations)
{
    for (const auto &[incarnation, crash] : record.crashes)
        incarnations.insert(incarnation);
}

// A start may clear the suspect that explained others with the same crashes. Names are gathered
// once for all starts of a report: 512 starts that share 16 crashes with 1,024 suspects would
// otherwise add 8 million.
void RequestQuarantine::updateSuspectsOf(const Incarnations &incarnations, TimePoint now)
{
    SuspectTable::Names suspects;
    for (const std::string &incarnation : incarnations) {
        const SuspectTable::Names &sharing = m_suspects.suspectsOf(incarnation);
        suspects.insert(sharing.begin(), sharing.end());
    }
    for (const std::string &suspect : suspects) {
        if (SuspectRecord *record = m_suspects.find(suspect))
            updateQuarantine(suspect, *record, now);
    }
}

void RequestQuarantine::updateQuarantine(const std::string &suspect, SuspectRecord &record,
                                         TimePoint now)
{
    const SuspectRecord::Quarantine &quarantined = record.quarantine;
    if (record.crashes.empty() || now < quarantined.until)
        return;
    // One that has been quarantined before gets no second chance to crash several servers.
    const bool isRepeated = quarantined.count > 0
        && std::any_of(record.crashes.begin(), record.crashes.end(), [&](const auto &crash) {
                                return crash.second.at.latest >= quarantined.until
                                    && !record.isZoneFailure(crash.second);
                            });
    const bool isDue = record.crashes.size() >= m_settings.crashThreshold
        && record.latestCrash() > std::max(quarantined.since, quarantined.until)
        && m_attribution.crashCount(suspect, record) >= crashThreshold(suspect, record, now);
    if (isRepeated || (isDue && !m_attribution.isExplained(suspect, record, now)))
        quarantine(suspect, record, now);
}

std::size_t RequestQuarantine::minCrashes(const std::string &suspect) const
{
    return RequestDigest::isDigest(suspect) ? CrashAttribution::minRequestCrashes
                                            : m_settings.crashThreshold;
}

// Many callers may send the same request, so that it is at most servers whatever ends them.
std::size_t RequestQuarantine::crashThreshold(const std::string &suspect,
                                              const SuspectRecord &record, TimePoint now) const
{
    if (!RequestDigest::isDigest(suspect))
        return minCrashes(suspect);
    const int level = m_attribution.startLevel(suspect, record, now);
    return std::min(minCrashes(suspect) + crashesPerStartLevel * static_cast<std::size_t>(level),
                    maxRequestCrashes);
}

void RequestQuarantine::quarantine(const std::string &suspect, SuspectRecord &record, TimePoint now)
{
    SuspectRecord::Quarantine &quarantined = record.quarantine;
    const auto doublings = std::min<std::uint32_t>(quarantined.count, 8);
    const auto time =
        std::min<Duration>(m_settings.minQuarantine * (1U << doublings), m_settings.maxQuarantine);
    ++quarantined.count;
    quarantined.isInForce = true;
    quarantined.since = now;
    quarantined.until = now + time;
    quarantined.trialUntil = {};
    if (m_hooks.onQuarantined)
        m_hooks.onQuarantined(suspect, m_attribution.crashCount(suspect, record),
                              record.evidenceText(), time);
    if (!record.hasOwnCrash())
        return;
    m_isReportUrgent = true;
    requestReport(now);
}

void RequestQuarantine::release(const std::string &suspect, SuspectRecord &record,
                                std::string_view cause)
{
    record.quarantine.isInForce = false;
    record.quarantine.hasRejected = false;
    if (m_hooks.onReleased)
        m_hooks.onReleased(suspect, cause);
}

void RequestQuarantine::expire(TimePoint now)
{
    if (now - m_expiredAt < expiryInterval)
        return;
    m_expiredAt = now;
    const auto isOld = [this, now](TimePoint at) {
        return now - at >= m_settings.evidenceLifetime;
    };
    bool hasReleased = false;
    m_suspects.forEach([&](const std::string &suspect, SuspectRecord &record) {
        if (record.quarantine.isInForce && !isQuarantined(record, now)) {
            release(suspect, record, "expired");
            hasReleased = true;
        }
        if (!record.quarantine.isInForce)
            m_suspects.removeCrashes(suspect,
                                     [&](const Crash &crash) { return isOld(crash.at.latest); });
    });
    // Others must not take over a quarantine that has expired here. Crashes are dated, and readers
    // leave old ones out.
    if (hasReleased && !m_published.isEmpty())
        requestReport(now);
    m_suspects.removeIf([&](const SuspectRecord &record) {
        return !record.quarantine.isInForce && record.crashes.empty() && isOld(record.startedAt)
            && isOld(record.quarantine.until);
    });
}

std::size_t RequestQuarantine::quarantineCount() const
{
    const auto &records = m_suspects.records();
    return static_cast<std::size_t>(
        std::count_if(records.begin(), records.end(),
                      [](const auto &entry) { return entry.second.quarantine.isInForce; }));
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
