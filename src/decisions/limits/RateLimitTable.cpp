#include "foxtailring/decisions/limits/RateLimitTable.h"

#include "foxtailring/decisions/limits/RateApportionment.h"
#include "foxtailring/decisions/placement/RendezvousHash.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A limit is kept in every window of this length.
constexpr seconds window {4};
// Below the lowest limit a server still gets one request in a while, which shows its end.
constexpr double minLimit = 1.0 / 30;
constexpr double maxLimit = 1e6;
// Until the processes' reports are known, a limit is divided by this number at least.
constexpr std::size_t minAssumedProcesses = 32;
// A process that is cut off from the store tries a limited server again after this additional time
// at most.
constexpr std::chrono::minutes maxRetryDelay {10};
// A process that is not among those that share a limit yet takes this fraction of a share.
constexpr std::size_t newcomerDivisor = 2;
// Without word from the store for this long, the others may have redistributed this process's
// share.
constexpr seconds maxViewAge {6};
// All processes together publish this many reports per second at most.
constexpr milliseconds publishIntervalPerProcess {25};
constexpr milliseconds minPublishInterval {1000};
// In publish intervals: a limit is dropped that no process has named or repeated.
constexpr int expiryIntervals = 16;
// Reports are written again within this time after the store was restored, and within two of the
// intervals at which they are repeated.
constexpr seconds minRewriteTime {30};
} // namespace

RateLimitTable::RateLimitTable(Settings settings)
    : m_settings(std::move(settings))
{
}

void RateLimitTable::recordAnswer(std::string_view serverId, const BackendAnswer &answer,
                                  TimePoint sentAt, TimePoint now)
{
    if (answer.rateLimit) {
        Record &record = m_records[std::string(serverId)];
        record.namedLimit = std::clamp(*answer.rateLimit, minLimit, maxLimit);
        record.namedAt = now;
        record.isEndReported = false;
        record.evidenceAt = now;
        if (!record.isLimited)
            startLimit(serverId, record, *record.namedLimit, now);
        return;
    }
    const auto found = m_records.find(serverId);
    const bool isEnd = !answer.namesRateLimit && (answer.isSigned || answer.isNotRun)
        && found != m_records.end() && found->second.isLimited;
    // An answer to an earlier request may be older than the limit.
    if (isEnd && sentAt > std::max(found->second.namedAt, found->second.limitedSince))
        endLimit(serverId, found->second, "notNamed", now);
}

void RateLimitTable::startLimit(std::string_view serverId, Record &record, double limit,
                                TimePoint now)
{
    record.isLimited = true;
    record.limitedSince = now;
    record.evidenceAt = now;
    if (m_hooks.onLimited)
        m_hooks.onLimited(serverId, limit);
}

void RateLimitTable::endLimit(std::string_view serverId, Record &record, std::string_view cause,
                              TimePoint now)
{
    record.isLimited = false;
    record.endedAt = now;
    record.namedLimit.reset();
    record.quota.reset();
    record.raise.reset();
    record.hasHadShare = false;
    record.isEndReported = false;
    if (m_hooks.onUnlimited)
        m_hooks.onUnlimited(serverId, cause);
}

void RateLimitTable::replaceReports(std::span<const RateLimitReportChange> reports, TimePoint now)
{
    std::vector<RateLimitReportChange> changes(reports.begin(), reports.end());
    for (const auto &[processId, limits] : m_reports) {
        const bool isKept =
            std::any_of(reports.begin(), reports.end(),
                        [&id = processId](const auto &one) { return one.processId == id; });
        if (!isKept)
            changes.push_back({processId, std::nullopt});
    }
    applyReports(changes, now);
}

void RateLimitTable::applyReports(std::span<const RateLimitReportChange> changes, TimePoint now)
{
    ServerIds changed;
    for (const RateLimitReportChange &change : changes)
        applyReport(change, changed, now);
    updateQuotas(changed, now);
}

void RateLimitTable::applyReport(const RateLimitReportChange &change, ServerIds &changed,
                                 TimePoint now)
{
    const bool isOwn = change.processId == m_settings.processId;
    m_unconfirmedReports.erase(change.processId);
    Limits after;
    if (change.report) {
        for (const RateLimitReport::Entry &entry : change.report->entries)
            after.emplace(entry.serverId, entry);
    }
    const Limits before = std::exchange(m_reports[change.processId], after);
    if (after.empty())
        m_reports.erase(change.processId);
    for (const Limits *limits : {&before, &std::as_const(after)}) {
        for (const auto &[serverId, entry] : *limits)
            changed.insert(serverId);
    }
    if (!change.report) {
        if (isOwn)
            m_publication.requestRepeat();
        return;
    }
    // Before a restart, this process published the report.
    const bool isInherited = isOwn && m_publication.isEmpty();
    if (isInherited)
        m_publication.inherit(*change.report);
    if (!isOwn || isInherited)
        applyNewEntries(before, after, now);
    if (!isOwn)
        applyDroppedEntries(before, after, now);
}

// At each change, so that no passing decrease is missed.
void RateLimitTable::updateQuotas(const ServerIds &serverIds, TimePoint now)
{
    for (const std::string &serverId : serverIds) {
        const auto found = m_records.find(serverId);
        if (found == m_records.end())
            continue;
        found->second.sharing.isCurrent = false;
        if (found->second.isLimited)
            quotaFor(found->second, divide(serverId, found->second, now), now);
    }
}

// An entry that the process had published before the limit ended here is not news.
void RateLimitTable::applyNewEntries(const Limits &before, const Limits &after, TimePoint now)
{
    for (const auto &[serverId, entry] : after) {
        Record &record = m_records[serverId];
        const bool hasJustEnded = record.endedAt && now - *record.endedAt <= m_settings.reportDelay;
        const bool isNews = !before.contains(serverId) && !hasJustEnded;
        if (!record.isLimited && isNews)
            startLimit(serverId, record, entry.limit, now);
        if (record.isLimited)
            record.evidenceAt = now;
    }
}

// The process saw that the server names no limit any more.
void RateLimitTable::applyDroppedEntries(const Limits &before, const Limits &after, TimePoint now)
{
    for (const auto &[serverId, entry] : before) {
        const auto found = m_records.find(serverId);
        if (after.contains(serverId) || found == m_records.end() || !found->second.isLimited)
            continue;
        found->second.isEndReported = true;
        endLimitIfReported(serverId, found->second, now);
    }
}

// The report may be older than the latest answer here. If the limit still holds, the next answer
// names it again.
void RateLimitTable::endLimitIfReported(std::string_view serverId, Record &record, TimePoint now)
{
    const bool isNamedLately = record.namedLimit && now - record.namedAt <= m_settings.reportDelay;
    if (record.isLimited && record.isEndReported && !isNamedLately)
        endLimit(serverId, record, "reported", now);
}

void RateLimitTable::setProcessCount(std::size_t count)
{
    m_processCount = std::max<std::size_t>(count, 1);
}

bool RateLimitTable::tryAcquire(std::string_view serverId, TimePoint now)
{
    auto found = m_records.find(serverId);
    if (found == m_records.end())
        found = m_records.emplace(serverId, Record {}).first;
    Record &record = found->second;
    record.demand.record(now);
    if (record.isLimited && freeAt(serverId, now) > now)
        return false;
    record.sent.record(now);
    return true;
}

bool RateLimitTable::isLimited(std::string_view serverId) const
{
    const auto found = m_records.find(serverId);
    return found != m_records.end() && found->second.isLimited;
}

TimePoint RateLimitTable::freeAt(std::string_view serverId, TimePoint now)
{
    const auto found = m_records.find(serverId);
    if (found == m_records.end() || !found->second.isLimited)
        return now;
    const Division division = divide(serverId, found->second, now);
    const std::uint32_t quota = quotaFor(found->second, division, now);
    return found->second.sent.freeAt(quota, division.budget.window, now);
}

std::optional<RateLimitExplanation> RateLimitTable::explain(std::string_view serverId,
                                                            TimePoint now)
{
    const auto found = m_records.find(serverId);
    if (found == m_records.end() || !found->second.isLimited)
        return std::nullopt;
    Record &record = found->second;
    const Division division = divide(serverId, record, now);
    RateLimitExplanation explanation;
    explanation.limit = division.limit;
    explanation.limitAge = now - record.evidenceAt;
    explanation.quota = quotaFor(record, division, now);
    explanation.window = division.budget.window;
    explanation.recent = record.sent.count(division.budget.window, now);
    explanation.processes = division.processes;
    explanation.isShareKnown = division.isShareKnown;
    return explanation;
}

// The latest answer counts; a process that gets none uses the lowest limit that another one knows.
double RateLimitTable::limitOf(const Record &record, TimePoint now) const
{
    const double named = record.namedLimit.value_or(minLimit);
    const bool isRecent = record.namedLimit && now - record.namedAt <= window;
    return isRecent ? named : record.sharing.lowestLimit.value_or(named);
}

RateLimitTable::Budget RateLimitTable::budgetFor(double limit)
{
    const double perWindow = limit * std::chrono::duration<double>(window).count();
    if (perWindow >= 1)
        return {static_cast<std::uint32_t>(perWindow), window};
    return {1, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / limit))};
}

const RateLimitTable::Sharing &RateLimitTable::updateSharing(std::string_view serverId,
                                                             Record &record) const
{
    Sharing &sharing = record.sharing;
    if (sharing.isCurrent)
        return sharing;
    sharing = Sharing {};
    sharing.isCurrent = true;
    for (const auto &[processId, limits] : m_reports) {
        const auto found = limits.find(serverId);
        if (found == limits.end())
            continue;
        const RateLimitReport::Entry &entry = found->second;
        sharing.sharers.push_back({processId, entry.demand});
        if (processId == m_settings.processId)
            sharing.isSharer = true;
        else
            sharing.lowestLimit = std::min(sharing.lowestLimit.value_or(entry.limit), entry.limit);
    }
    return sharing;
}

std::uint32_t RateLimitTable::shareOf(std::string_view serverId, Sharing &sharing,
                                      std::uint32_t total) const
{
    if (std::exchange(sharing.total, total) != total)
        sharing.share =
            RateApportionment::shareOf(m_settings.processId, total, serverId, sharing.sharers);
    return sharing.share;
}

RateLimitTable::Division RateLimitTable::divide(std::string_view serverId, Record &record,
                                                TimePoint now) const
{
    const Sharing &sharing = updateSharing(serverId, record);
    Division division;
    division.limit = std::clamp(limitOf(record, now), minLimit, maxLimit);
    division.budget = budgetFor(division.limit);
    const std::uint32_t share = shareOf(serverId, record.sharing, division.budget.total);
    division.isShareKnown = sharing.isSharer && now - m_confirmedAt <= maxViewAge;
    if (division.isShareKnown) {
        division.processes = sharing.sharers.size();
        division.quota = share;
        return division;
    }
    division.processes = std::max(processesWithoutReports(), sharing.sharers.size() + 1);
    // The sharers use the whole limit already.
    if (!sharing.sharers.empty() && !sharing.isSharer)
        division.processes *= newcomerDivisor;
    division.quota = static_cast<std::uint32_t>(division.budget.total / division.processes);
    if (sharing.isSharer)
        division.quota = std::min(division.quota, share);
    return division;
}

// A lower quota applies at once. A higher one waits until the processes whose quotas fall know it
// and their last requests have left the window. The first known share waits only until the server
// has had a window to recover: quotas before it are small.
std::uint32_t RateLimitTable::quotaFor(Record &record, const Division &division,
                                       TimePoint now) const
{
    if (!record.quota) {
        const auto cautious =
            static_cast<std::uint32_t>(division.budget.total / processesWithoutReports());
        record.quota = std::min(division.quota, cautious);
    }
    if (division.quota <= *record.quota) {
        record.quota = division.quota;
        record.raise.reset();
        return *record.quota;
    }
    if (!record.raise) {
        const TimePoint known = now + m_settings.reportDelay;
        const TimePoint first = std::max(known, record.limitedSince + window);
        record.raise = Raise {division.quota, record.hasHadShare ? known + window : first};
    }
    record.raise->quota = std::min(record.raise->quota, division.quota);
    if (now >= record.raise->at) {
        record.hasHadShare = record.hasHadShare || division.isShareKnown;
        record.quota = record.raise->quota;
        record.raise.reset();
    }
    return *record.quota;
}

// A report that is not known may have been written after the restore.
void RateLimitTable::onStoreRestored(std::span<const RateLimitReportChange> reports, TimePoint now)
{
    std::vector<RateLimitReportChange> unknown;
    for (const RateLimitReportChange &change : reports) {
        if (change.processId != m_settings.processId && !m_reports.contains(change.processId))
            unknown.push_back(change);
    }
    applyReports(unknown, now);
    for (const auto &[processId, limits] : m_reports)
        m_unconfirmedReports.insert_or_assign(processId, now);
    m_publication.requestRepeat();
}

void RateLimitTable::expireUnconfirmedReports(TimePoint now)
{
    const Duration rewriteTime = std::max<Duration>(
        minRewriteTime, 2 * RateLimitPublication::refreshIntervals * publishInterval());
    std::vector<RateLimitReportChange> lost;
    for (const auto &[processId, restoredAt] : m_unconfirmedReports) {
        if (now - restoredAt > rewriteTime)
            lost.push_back({processId, std::nullopt});
    }
    if (!lost.empty())
        applyReports(lost, now);
}

void RateLimitTable::expire(TimePoint now)
{
    expireUnconfirmedReports(now);
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        Record &record = entry->second;
        endLimitIfReported(entry->first, record, now);
        if (record.isLimited
            && now - record.evidenceAt > evidenceLifetime(entry->first, record, now))
            endLimit(entry->first, record, "noEvidence", now);
        const bool hasJustEnded = record.endedAt && now - *record.endedAt <= m_settings.reportDelay;
        const bool isUnused = !record.isLimited && !hasJustEnded && record.sent.isEmpty(now);
        entry = isUnused ? m_records.erase(entry) : std::next(entry);
    }
}

std::size_t RateLimitTable::processesWithoutReports() const
{
    return std::max(minAssumedProcesses, m_processCount);
}

Duration RateLimitTable::evidenceLifetime(std::string_view serverId, const Record &record,
                                          TimePoint now) const
{
    const Duration lifetime = expiryIntervals * publishInterval();
    const bool hasStore = now - m_confirmedAt <= maxViewAge;
    return hasStore ? lifetime : lifetime + retryDelay(serverId, record, now);
}

// Without word from the store, the next request of each process is what shows whether the limit
// still holds. These alone must not exceed it, so on average each process waits as long as the
// server takes for a request from each of them.
Duration RateLimitTable::retryDelay(std::string_view serverId, const Record &record,
                                    TimePoint now) const
{
    using Seconds = std::chrono::duration<double>;
    const double limit = std::clamp(limitOf(record, now), minLimit, maxLimit);
    const Seconds oneFromEach(static_cast<double>(m_processCount) / limit);
    const Seconds longest = std::min<Seconds>(2 * oneFromEach, maxRetryDelay);
    const auto seed = static_cast<std::uint64_t>(record.evidenceAt.time_since_epoch().count());
    const std::uint64_t weight =
        RendezvousHash::weight(seed, m_settings.processId + std::string(serverId));
    const double fraction = static_cast<double>(weight)
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return std::chrono::duration_cast<Duration>(fraction * longest);
}

bool RateLimitTable::wantsReport(TimePoint now)
{
    const RateLimitReport report = currentReport(now);
    return !report.entries.empty() && m_publication.isDue(report, publishInterval(), now);
}

std::optional<RateLimitReport> RateLimitTable::takeDueReport(TimePoint now)
{
    RateLimitReport report = currentReport(now);
    if (!m_publication.isDue(report, publishInterval(), now))
        return std::nullopt;
    m_publication.record(report, now);
    return report;
}

// An entry stays until the limit ends, since the others take its absence for the end.
RateLimitReport RateLimitTable::currentReport(TimePoint now)
{
    RateLimitReport report;
    for (auto &[serverId, record] : m_records) {
        if (!record.isLimited)
            continue;
        const double demand = m_publication.steadyDemand(serverId, record.demand.perSecond(now));
        if (!record.namedLimit && demand <= 0 && !m_publication.names(serverId))
            continue;
        updateSharing(serverId, record);
        report.entries.push_back({serverId, limitOf(record, now), demand});
    }
    return report;
}

Duration RateLimitTable::publishInterval() const
{
    return std::max<Duration>(minPublishInterval, publishIntervalPerProcess * m_reports.size());
}

} // namespace foxtailring
