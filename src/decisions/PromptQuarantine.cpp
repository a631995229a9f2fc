#include "foxtailring/decisions/PromptQuarantine.h"

#include "foxtailring/decisions/CrashVerdict.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A report holds the latest crashes, each with the parts that are deepest in the prompt: those at
// its beginning are shared by the most requests and so are cleared first.
constexpr std::size_t maxReportedCrashes = 16;
constexpr std::size_t maxReportedParts = 32;
constexpr std::size_t maxCrashesPerPart = 16;
// A request that tries a part has begun or failed by then.
constexpr std::chrono::seconds maxTrialDuration {10};
// When so many engines fail at once, most suspects are cleared by their next attempt. Their reports
// wait for that, since the store would get one from each process.
constexpr std::size_t massFailureEngines = 3;
constexpr std::chrono::seconds massFailureReportDelay {3};
// Suspects of one request: the parts at the beginning and at the end of its shared prompt. A caller
// could otherwise fill the table with one request.
constexpr std::size_t maxSuspectsPerEnd = 16;
// Two half-lives after a single start, it says nothing any more.
constexpr double minStartWeight = 0.25;
// The clock of own reports follows the wall clock only when that is set anew, so that two readings
// of it do not change the order of what they date.
constexpr milliseconds minClockStep {500};

TimeBounds notAfter(TimeBounds bounds, TimePoint now)
{
    return {std::min(bounds.earliest, now), std::min(bounds.latest, now)};
}

} // namespace

PromptQuarantine::PromptQuarantine()
    : PromptQuarantine(Settings {})
{
}

PromptQuarantine::PromptQuarantine(Settings settings)
    : m_settings(settings)
    , m_failures(settings.minCrashInterval, settings.evidenceLifetime)
{
}

void PromptQuarantine::setUnixOffset(milliseconds offset)
{
    m_unixOffset = offset;
    if (!m_reportOffset || std::chrono::abs(offset - *m_reportOffset) >= minClockStep)
        m_reportOffset = offset;
}

void PromptQuarantine::recordCrash(const std::string &incarnation, Parts parts,
                                   const ProvenCrash &crash, TimePoint now)
{
    if (parts.empty())
        return;
    m_failures.record(incarnation, crash.at, now);
    Crash sighting;
    sighting.at = {crash.at, crash.at};
    sighting.isOwn = true;
    sighting.evidence = crash.evidence;
    sighting.askedPeers = crash.askedPeers;
    sighting.failedPeers = crash.failedPeers;
    addCrash(incarnation, parts, sighting, now);
    const bool isMassFailure = m_failures.countAt(crash.at) >= massFailureEngines;
    m_reportAt = isMassFailure ? now + massFailureReportDelay : std::min(m_reportAt, now);
}

void PromptQuarantine::addCrash(const std::string &incarnation, Parts parts, const Crash &sighting,
                                TimePoint now)
{
    const TimeBounds at = sighting.at;
    const bool isOwn = sighting.isOwn;
    if (now - at.latest >= m_settings.evidenceLifetime)
        return;
    for (std::size_t position = 0; position < parts.size(); ++position) {
        const bool isInMiddle =
            position >= maxSuspectsPerEnd && position + maxSuspectsPerEnd < parts.size();
        Record *record = isInMiddle ? nullptr : recordFor(parts[position]);
        if (!record)
            continue;
        const auto started = m_recentStarts.lastStart(parts[position]);
        if (started && *started > record->startedAt) {
            record->startedAt = *started;
            record->isOwnStart = true;
        }
        if (record->startedAt >= at.earliest) {
            // Another process suspects the part: it is told of the start.
            if (!isOwn && record->isOwnStart && m_reportAt == TimePoint::max())
                m_reportAt = now + (m_hooks.clearingDelay ? m_hooks.clearingDelay() : Duration {0});
            continue;
        }
        const auto found = record->crashes.find(incarnation);
        if (found == record->crashes.end() && record->crashes.size() >= maxCrashesPerPart)
            continue;
        Crash &crash = record->crashes.try_emplace(incarnation, sighting).first->second;
        addSighting(crash, sighting);
        crash.position = std::max(crash.position, position);
    }
    // Only now are all parts known that may explain each other.
    for (const std::string &part : parts) {
        const auto found = m_records.find(part);
        if (found != m_records.end())
            updateQuarantine(part, found->second, now);
    }
}

// Several processes see the end of one engine, some of them late: the first sighting counts. What
// this process saw itself is exact, and reports do not blur it.
void PromptQuarantine::addSighting(Crash &crash, const Crash &sighting)
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
    if (isOwn && !std::exchange(crash.isOwn, true)) {
        crash.evidence = sighting.evidence;
        crash.askedPeers = sighting.askedPeers;
        crash.failedPeers = sighting.failedPeers;
    }
    crash.isZoneFailure = crash.isZoneFailure && sighting.isZoneFailure;
}

// Engines of the zone that requests with the same part have crashed do not speak for it.
bool PromptQuarantine::isZoneFailure(const Record &record, const Crash &crash)
{
    if (!crash.isOwn)
        return crash.isZoneFailure;
    const auto unexplained = static_cast<std::size_t>(
        std::count_if(crash.failedPeers.begin(), crash.failedPeers.end(),
                      [&](const auto &peer) { return !record.crashes.contains(peer); }));
    return unexplained > 0 && CrashVerdict::areMost(unexplained, crash.askedPeers);
}

std::string PromptQuarantine::evidenceText(const Record &record)
{
    std::set<std::string_view> names;
    for (const auto &[incarnation, crash] : record.crashes)
        names.insert(crashEvidenceName(crash.evidence));
    std::string text;
    for (const std::string_view name : names)
        text.append(text.empty() ? "" : " ").append(name);
    return text;
}

// When the table is full, the part with the fewest and oldest crashes makes room, unless it is
// quarantined: a caller that sends new parts all the time must not end a quarantine.
PromptQuarantine::Record *PromptQuarantine::recordFor(const std::string &part)
{
    const auto found = m_records.find(part);
    if (found != m_records.end())
        return &found->second;
    if (m_records.size() >= m_settings.maxParts) {
        const auto least = leastSuspect();
        if (least == m_records.end())
            return nullptr;
        m_records.erase(least);
    }
    return &m_records[part];
}

PromptQuarantine::Records::iterator PromptQuarantine::leastSuspect()
{
    auto least = m_records.end();
    auto rank = std::pair(maxCrashesPerPart + 1, TimePoint::max());
    for (auto it = m_records.begin(); it != m_records.end(); ++it) {
        const auto own = std::pair(it->second.crashes.size(), latestCrash(it->second));
        if (it->second.quarantineCount > 0 || own >= rank)
            continue;
        least = it;
        rank = own;
    }
    return least;
}

TimePoint PromptQuarantine::latestCrash(const Record &record)
{
    TimePoint latest;
    for (const auto &[incarnation, crash] : record.crashes)
        latest = std::max(latest, crash.at.latest);
    return latest;
}

void PromptQuarantine::withdrawCrash(std::string_view incarnation)
{
    m_failures.withdraw(std::string(incarnation));
    for (auto &[part, record] : m_records) {
        const auto crash = record.crashes.find(incarnation);
        if (crash == record.crashes.end() || !crash->second.isOwn)
            continue;
        record.crashes.erase(crash);
        if (record.isInQuarantine && crashCount(record) < m_settings.crashThreshold)
            release(part, record, "refuted");
        m_reportAt = TimePoint {};
    }
}

void PromptQuarantine::recordStart(Parts parts, TimePoint now)
{
    bool hasCleared = false;
    bool hasReleased = false;
    for (const std::string &part : parts) {
        m_recentStarts.record(part, now);
        const auto found = m_records.find(part);
        if (found == m_records.end())
            continue;
        Record &record = found->second;
        hasReleased = hasReleased || record.isInQuarantine;
        hasCleared = hasCleared || record.isInQuarantine || !record.crashes.empty();
        addStart(part, record, now, true);
    }
    if (!hasCleared)
        return;
    if (hasReleased || m_reportAt == TimePoint::max())
        m_reportAt = now;
    updateAllQuarantines(now);
}

void PromptQuarantine::addStart(const std::string &part, Record &record, TimePoint at, bool isOwn)
{
    if (at <= record.startedAt)
        return;
    record.startedAt = at;
    record.isOwnStart = isOwn;
    const std::size_t cleared = std::erase_if(
        record.crashes, [at](const auto &crash) { return crash.second.at.earliest <= at; });
    // A quarantine begins later than its crashes, so a start before it may have disproved them all.
    const bool isDisproved =
        at > record.quarantinedSince || (cleared > 0 && record.crashes.empty());
    if (record.isInQuarantine && isDisproved)
        release(part, record, "started");
    if (!record.isInQuarantine) {
        record.quarantineCount = 0;
        record.quarantinedUntil = {};
    }
}

PromptQuarantine::Admission PromptQuarantine::admit(Parts parts, TimePoint now)
{
    Admission admission = Admission::Admitted;
    for (const std::string &part : parts) {
        const auto found = m_records.find(part);
        if (found == m_records.end() || !isRejecting(part, found->second, parts, now))
            continue;
        Record &record = found->second;
        const bool mayTry = now >= record.quarantinedUntil && now >= record.trialUntil
            && m_hooks.isTrialOwner && m_hooks.isTrialOwner(part);
        if (mayTry) {
            record.trialUntil = now + maxTrialDuration;
            admission = Admission::Trial;
            continue;
        }
        if (!std::exchange(record.hasRejected, true))
            m_reportAt = std::min(m_reportAt, now);
        return Admission::Rejected;
    }
    return admission;
}

std::string_view PromptQuarantine::quarantinedPart(Parts parts, TimePoint now) const
{
    for (const std::string &part : parts) {
        const auto found = m_records.find(part);
        if (found != m_records.end() && isRejecting(part, found->second, parts, now))
            return found->first;
    }
    return {};
}

// One process tries the part at the end of its quarantine; the others go on for a while.
bool PromptQuarantine::isQuarantined(const Record &record, TimePoint now) const
{
    return record.isInQuarantine && now < record.quarantinedUntil + m_settings.trialTime;
}

// A process that restarts gets its own report back.
void PromptQuarantine::applyReport(const PromptCrashReport &report, TimePoint now,
                                   const ReportReception &reception)
{
    const ReporterClock clock = m_reporterClocks.read(report, reception, m_unixOffset, now);
    for (const auto &crash : report.crashes) {
        Crash sighting;
        sighting.at = notAfter(clock.boundsOf(crash.atMs), now);
        sighting.isZoneFailure = crash.isZoneFailure;
        addCrash(crash.incarnation, crash.parts, sighting, now);
    }
    for (const auto &start : report.starts) {
        const auto found = m_records.find(start.part);
        if (found != m_records.end())
            addStart(start.part, found->second, notAfter(clock.boundsOf(start.atMs), now).latest,
                     false);
    }
    for (const auto &reported : report.quarantines)
        adoptQuarantine(reported, clock, now);
    if (!report.starts.empty())
        updateAllQuarantines(now);
}

void PromptQuarantine::adoptQuarantine(const PromptCrashReport::Quarantine &reported,
                                       const ReporterClock &clock, TimePoint now)
{
    const Duration left = clock.boundsOf(reported.untilMs).latest - now;
    const milliseconds whole(reported.untilMs - reported.sinceMs);
    // The reporter's clock may be known by wall clocks alone.
    const Duration longest = whole + ReporterClocks::maxWallClockDifference;
    const bool isCredible = whole <= m_settings.maxQuarantine && left <= longest
        && m_records.size() < m_settings.maxParts / 2;
    if (!isCredible)
        return;
    const auto time = std::min<Duration>(left, m_settings.maxQuarantine);
    const TimePoint since = notAfter(clock.boundsOf(reported.sinceMs), now).latest;
    const auto started = m_recentStarts.lastStart(reported.part);
    if (time <= Duration {0} || (started && *started > since))
        return;
    Record *record = recordFor(reported.part);
    const bool isNews = record && record->startedAt <= since
        && (!record->isInQuarantine || record->quarantinedUntil < now + time);
    // Starts here have cleared the part of the crashes behind the quarantine.
    const bool isCleared =
        isNews && record->crashes.empty() && startLevel(reported.part, *record, now) > 0;
    if (!isNews || isCleared)
        return;
    const bool isNew = !record->isInQuarantine;
    record->isInQuarantine = true;
    record->quarantinedSince = isNew ? since : std::min(record->quarantinedSince, since);
    record->quarantinedUntil = now + time;
    record->quarantineCount = std::max(record->quarantineCount, 1U);
    if (isNew && m_hooks.onQuarantined)
        m_hooks.onQuarantined(reported.part, crashCount(*record), evidenceText(*record), time);
}

// A start may clear the part that explained others.
void PromptQuarantine::updateAllQuarantines(TimePoint now)
{
    for (auto &[part, record] : m_records)
        updateQuarantine(part, record, now);
}

void PromptQuarantine::updateQuarantine(const std::string &part, Record &record, TimePoint now)
{
    if (record.crashes.empty() || now < record.quarantinedUntil)
        return;
    // A part that has been quarantined before gets no second chance to crash several engines.
    const bool isRepeated = record.quarantineCount > 0
        && std::any_of(record.crashes.begin(), record.crashes.end(), [&](const auto &crash) {
                                return crash.second.at.latest >= record.quarantinedUntil
                                    && !isZoneFailure(record, crash.second);
                            });
    const bool isDue = record.crashes.size() >= m_settings.crashThreshold
        && latestCrash(record) > record.quarantinedSince
        && crashCount(record) >= m_settings.crashThreshold;
    if (isRepeated || (isDue && !isExplained(part, record, now)))
        quarantine(part, record, now);
}

// Crashes that may have happened at the same moment count once.
std::size_t PromptQuarantine::crashCount(const Record &record) const
{
    std::vector<TimeBounds> times;
    for (const auto &[incarnation, crash] : record.crashes) {
        if (!isZoneFailure(record, crash) && isAtMostFailures(record, crash.at))
            times.push_back(crash.at);
    }
    std::sort(times.begin(), times.end(),
              [](const auto &one, const auto &other) { return one.latest < other.latest; });
    std::size_t count = 0;
    TimeBounds counted;
    for (const TimeBounds &at : times) {
        if (count > 0 && !m_failures.isSurelyLater(at, counted))
            continue;
        ++count;
        counted = at;
    }
    return count;
}

// True if the part was suspect at most of the engines that failed around \a at. When a zone is
// lost, few of its engines process any one part; a part that crashes engines is at all that fail.
bool PromptQuarantine::isAtMostFailures(const Record &record, TimeBounds at) const
{
    std::size_t suspected = 0;
    for (const auto &[incarnation, crash] : record.crashes) {
        if (m_failures.mayBeSameMoment(crash.at, at))
            ++suspected;
    }
    const std::size_t others = m_failures.count(at, [&record](const std::string &incarnation) {
        return !record.crashes.contains(incarnation);
    });
    return suspected > others;
}

// Another part was suspect in all the crashes in which this one was, and engines have begun to
// answer with it less often lately. If that does not tell them apart, the deeper one is taken: it
// is in fewer other requests, and if it is not the cause, the next crash without it shows that.
bool PromptQuarantine::isExplained(const std::string &part, const Record &record,
                                   TimePoint now) const
{
    const int level = startLevel(part, record, now);
    return std::any_of(m_records.begin(), m_records.end(), [&](const auto &other) {
        if (other.first == part)
            return false;
        const int otherLevel = startLevel(other.first, other.second, now);
        const Crashes &crashes = other.second.crashes;
        return otherLevel <= level
            && std::all_of(record.crashes.begin(), record.crashes.end(), [&](const auto &crash) {
                   const auto same = crashes.find(crash.first);
                   return same != crashes.end()
                       && (otherLevel < level || same->second.position > crash.second.position);
               });
    });
}

// False if the request lacks a part that was suspect in the same crashes and is no less likely the
// cause. Such requests are sound, or the crash that follows shows which part is the cause.
bool PromptQuarantine::isAccused(const std::string &part, const Record &record, Parts request,
                                 TimePoint now) const
{
    if (record.crashes.empty())
        return true;
    const int level = startLevel(part, record, now);
    return std::none_of(m_records.begin(), m_records.end(), [&](const auto &other) {
        const auto isShared = [&](const auto &crash) {
            return other.second.crashes.contains(crash.first);
        };
        return other.first != part
            && std::all_of(record.crashes.begin(), record.crashes.end(), isShared)
            && startLevel(other.first, other.second, now) <= level
            && std::find(request.begin(), request.end(), other.first) == request.end();
    });
}

// Levels order all parts, so there is always one that no other part explains. Of the starts in
// other processes only the latest one is known.
int PromptQuarantine::startLevel(const std::string &part, const Record &record, TimePoint now) const
{
    const double reported =
        record.startedAt == TimePoint {} ? 0 : RecentStarts::weightOf(record.startedAt, now);
    const double weight = std::max(m_recentStarts.weight(part, now), reported);
    return weight < minStartWeight ? 0 : 1 + std::ilogb(weight / minStartWeight) / 2;
}

void PromptQuarantine::quarantine(const std::string &part, Record &record, TimePoint now)
{
    const auto doublings = std::min<std::uint32_t>(record.quarantineCount, 8);
    const auto time =
        std::min<Duration>(m_settings.minQuarantine * (1U << doublings), m_settings.maxQuarantine);
    ++record.quarantineCount;
    record.isInQuarantine = true;
    record.quarantinedSince = now;
    record.quarantinedUntil = now + time;
    record.trialUntil = {};
    if (m_hooks.onQuarantined)
        m_hooks.onQuarantined(part, crashCount(record), evidenceText(record), time);
    const bool isOwn = std::any_of(record.crashes.begin(), record.crashes.end(),
                                   [](const auto &crash) { return crash.second.isOwn; });
    if (isOwn)
        m_reportAt = std::min(m_reportAt, now);
}

void PromptQuarantine::release(const std::string &part, Record &record, std::string_view cause)
{
    record.isInQuarantine = false;
    record.hasRejected = false;
    if (m_hooks.onReleased)
        m_hooks.onReleased(part, cause);
}

void PromptQuarantine::expire(TimePoint now)
{
    const auto isOld = [this, now](TimePoint at) {
        return now - at >= m_settings.evidenceLifetime;
    };
    bool hasChanged = false;
    for (auto &[part, record] : m_records) {
        if (record.isInQuarantine && !isQuarantined(record, now)) {
            release(part, record, "expired");
            hasChanged = true;
        }
        if (!record.isInQuarantine)
            hasChanged |=
                std::erase_if(record.crashes,
                              [&](const auto &crash) { return isOld(crash.second.at.latest); })
                > 0;
    }
    // Others must not take over what has expired here.
    if (hasChanged && !m_published.isEmpty())
        m_reportAt = std::min(m_reportAt, now);
    std::erase_if(m_records, [&](const auto &entry) {
        const Record &record = entry.second;
        return !record.isInQuarantine && record.crashes.empty() && isOld(record.startedAt)
            && isOld(record.quarantinedUntil);
    });
}

std::size_t PromptQuarantine::quarantineCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_records.begin(), m_records.end(),
                      [](const auto &entry) { return entry.second.isInQuarantine; }));
}

std::optional<PromptCrashReport> PromptQuarantine::takeDueReport(TimePoint now)
{
    if (!wantsReport(now))
        return std::nullopt;
    m_reportAt = TimePoint::max();
    PromptCrashReport report = currentReport();
    if (report == m_published)
        return std::nullopt;
    m_published = report;
    report.dating = {m_reportOffset.value_or(milliseconds(0)).count(), toReportMs(now)};
    return report;
}

void PromptQuarantine::onReportNotPublished()
{
    m_published = {};
    m_reportAt = TimePoint {};
}

PromptCrashReport PromptQuarantine::currentReport() const
{
    PromptCrashReport report;
    std::map<std::string, SuspectsOfCrash> crashes;
    for (const auto &[part, record] : m_records) {
        const bool isRelied = record.isInQuarantine && record.hasRejected;
        bool isOwn = record.hasRejected;
        for (const auto &[incarnation, crash] : record.crashes) {
            isOwn = isOwn || crash.isOwn;
            if (!crash.isOwn && !isRelied)
                continue;
            SuspectsOfCrash &suspects = crashes[incarnation];
            suspects.at = crash.at.latest;
            suspects.isZoneFailure = suspects.isZoneFailure && isZoneFailure(record, crash);
        }
        if (record.isOwnStart)
            report.starts.push_back({part, toReportMs(record.startedAt)});
        if (record.isInQuarantine && isOwn)
            report.quarantines.push_back(
                {part, toReportMs(record.quarantinedSince), toReportMs(record.quarantinedUntil)});
    }
    // All its suspects: without them, readers would hold one of several possible causes for the
    // only one.
    for (const auto &[part, record] : m_records) {
        for (const auto &[incarnation, crash] : record.crashes) {
            const auto found = crashes.find(incarnation);
            if (found != crashes.end())
                found->second.parts.emplace(crash.position, part);
        }
    }
    for (auto &[incarnation, crash] : crashes) {
        while (crash.parts.size() > maxReportedParts)
            crash.parts.erase(crash.parts.begin());
        PromptCrashReport::Crash &reported = report.crashes.emplace_back(
            PromptCrashReport::Crash {incarnation, toReportMs(crash.at), {}, crash.isZoneFailure});
        for (auto &[position, part] : crash.parts)
            reported.parts.push_back(part);
    }
    std::sort(report.crashes.begin(), report.crashes.end(),
              [](const auto &a, const auto &b) { return a.atMs > b.atMs; });
    if (report.crashes.size() > maxReportedCrashes)
        report.crashes.resize(maxReportedCrashes);
    return report;
}

std::int64_t PromptQuarantine::toReportMs(TimePoint time) const
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count()
        + m_reportOffset.value_or(milliseconds(0)).count();
}

} // namespace foxtailring
