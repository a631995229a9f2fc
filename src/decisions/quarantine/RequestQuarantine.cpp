#include "foxtailring/decisions/quarantine/RequestQuarantine.h"

#include "foxtailring/protocol/RequestDigest.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// A request that tries a suspect has begun or failed by then.
constexpr std::chrono::seconds maxTrialDuration {10};
// Suspects of one request: the prompt parts at the beginning and those at the end, with the request
// itself. A caller could otherwise fill the table with one request.
constexpr std::size_t maxSuspectsPerEnd = 16;
// Walks through all suspects, so not at each call.
constexpr milliseconds expiryInterval {500};

} // namespace

RequestQuarantine::RequestQuarantine()
    : RequestQuarantine(Settings {})
{
}

RequestQuarantine::RequestQuarantine(Settings settings)
    : m_settings(settings)
    , m_failures(settings.minCrashInterval, settings.evidenceLifetime)
    , m_suspects(settings.maxSuspects)
    , m_attribution(m_suspects, m_failures, m_starts, settings.crashThreshold)
{
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
    addRequest(suspects);
    updateQuarantines(suspects, now);
    requestCrashReport(suspects, crash, now);
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
        crash->add(sighting);
        crash->position = std::max(crash->position, position);
    }
}

// The last suspect stands for its request.
void RequestQuarantine::addRequest(std::span<const std::string> suspects)
{
    SuspectRecord *record = m_suspects.find(suspects.back());
    for (const std::string &part : suspects.first(suspects.size() - 1)) {
        if (record && m_suspects.find(part) && record->parts.size() < 2 * maxSuspectsPerEnd)
            record->parts.insert(part);
    }
}

// All suspects that may explain each other must be known.
void RequestQuarantine::updateQuarantines(Suspects suspects, TimePoint now)
{
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

void RequestQuarantine::withdrawCrash(std::string_view incarnation)
{
    m_failures.withdraw(std::string(incarnation));
    const SuspectTable::Names suspects = m_suspects.suspectsOf(incarnation);
    for (const std::string &suspect : suspects) {
        SuspectRecord &record = *m_suspects.find(suspect);
        if (!record.crashes.find(incarnation)->second.isOwn)
            continue;
        m_suspects.removeCrash(suspect, incarnation);
        const bool isRefuted =
            m_attribution.crashCount(suspect, record) < m_attribution.minCrashes(suspect);
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
    inheritQuarantines(now);
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
    if (record.quarantine.isInForce)
        bequeath(suspect, record);
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

void RequestQuarantine::bequeath(const std::string &part, const SuspectRecord &record)
{
    if (record.crashes.size() < m_settings.crashThreshold)
        return;
    for (const std::string &request : m_suspects.requestsAtAllCrashes(part))
        m_inherited[request] = record.quarantine;
}

// The request may have been answered itself, which cleared the part with it.
void RequestQuarantine::inheritQuarantines(TimePoint now)
{
    for (const auto &[name, inherited] : std::exchange(m_inherited, {})) {
        SuspectRecord *record = m_suspects.find(name);
        if (!record || record->crashes.empty() || record->quarantine.isInForce
            || now >= inherited.until)
            continue;
        record->quarantine = inherited;
        announce(name, *record, inherited.until - now, now);
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

void RequestQuarantine::addIncarnations(const SuspectRecord &record, Incarnations &incarnations)
{
    for (const auto &[incarnation, crash] : record.crashes)
        incarnations.insert(incarnation);
}

// A start may clear the suspect that explained others with the same crashes.
void RequestQuarantine::updateSuspectsOf(const Incarnations &incarnations, TimePoint now)
{
    for (const std::string &suspect : m_suspects.suspectsOf(incarnations)) {
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
        && m_attribution.crashCount(suspect, record)
            >= m_attribution.crashThreshold(suspect, record, now);
    if (isRepeated || (isDue && !m_attribution.isExplained(suspect, record, now)))
        quarantine(suspect, record, now);
}

void RequestQuarantine::quarantine(const std::string &suspect, SuspectRecord &record, TimePoint now)
{
    record.quarantine.begin(m_settings.minQuarantine, m_settings.maxQuarantine, now);
    announce(suspect, record, record.quarantine.until - now, now);
}

void RequestQuarantine::announce(const std::string &suspect, const SuspectRecord &record,
                                 Duration time, TimePoint now)
{
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

} // namespace foxtailring
