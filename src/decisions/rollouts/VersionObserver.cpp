#include "foxtailring/decisions/rollouts/VersionObserver.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

// The pace of a stream is the time from its first event to this one.
constexpr std::uint32_t pacedEvents = 10;
// Of one service; requests on further routes are not counted.
constexpr std::size_t maxRoutes = 16;

} // namespace

void VersionObserver::restart(std::string version, TimePoint now)
{
    m_version = std::move(version);
    m_restartedAt = now;
    m_now = now;
    m_rows.clear();
}

// Its requests without an answer have ended with it.
void VersionObserver::restore(const std::map<VersionRowKey, VersionRow> &rows)
{
    for (const auto &[key, row] : rows)
        m_rows[key] += {row.failures, row.times, {}};
}

std::uint64_t VersionObserver::begin(Attempt attempt)
{
    if (m_routes.size() < maxRoutes)
        m_routes.insert(attempt.route);
    const auto known = m_firstUse.try_emplace(attempt.version, attempt.sentAt);
    if (known.second && m_firstUse.size() > maxVersions)
        m_firstUse.erase(std::max_element(
            m_firstUse.begin(), m_firstUse.end(),
            [](const auto &one, const auto &other) { return one.second < other.second; }));
    m_open.emplace(++m_lastId, OpenAttempt {std::move(attempt), 0, {}});
    return m_lastId;
}

std::optional<TimePoint> VersionObserver::firstUse(std::string_view version) const
{
    const auto found = m_firstUse.find(version);
    return found == m_firstUse.end() ? std::nullopt : std::optional(found->second);
}

void VersionObserver::forgetUseBeside(std::string_view version)
{
    std::erase_if(m_firstUse, [version](const auto &one) { return one.first != version; });
}

void VersionObserver::recordEvent(std::uint64_t id, TimePoint now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    OpenAttempt &open = found->second;
    ++open.events;
    if (open.events == 1) {
        open.firstEventAt = now;
        if (VersionRow *answers = row(open.attempt, false))
            answers->times.record(now - open.attempt.sentAt);
    }
    if (open.events != pacedEvents)
        return;
    if (VersionRow *pace = row(open.attempt, true))
        pace->times.record(now - open.firstEventAt);
}

void VersionObserver::end(std::uint64_t id, Outcome outcome, TimePoint now)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    const OpenAttempt open = std::move(found->second);
    m_open.erase(found);
    const bool hasEvents = open.events > 0;
    const bool isTimed = !hasEvents && outcome != Outcome::NotRun;
    VersionRow *ended =
        isTimed || outcome == Outcome::Failed ? row(open.attempt, hasEvents) : nullptr;
    if (!ended)
        return;
    // An abandoned one would have taken longer, so its age counts if that is slow already.
    if (outcome == Outcome::Failed)
        ++ended->failures;
    else if (outcome == Outcome::Answered)
        ended->times.record(now - open.attempt.sentAt);
    else
        ended->open.record(std::max(now, m_now) - open.attempt.sentAt);
}

std::map<VersionRowKey, VersionRow> VersionObserver::rows(TimePoint now) const
{
    std::map<VersionRowKey, VersionRow> rows = m_rows;
    for (const auto &[id, open] : m_open) {
        if (!isCounted(open.attempt))
            continue;
        if (open.events == 0)
            rows[keyOf(open.attempt, false)].open.record(now - open.attempt.sentAt);
        else if (open.events < pacedEvents)
            rows[keyOf(open.attempt, true)].open.record(now - open.firstEventAt);
    }
    return rows;
}

std::size_t VersionObserver::openCountBeside(std::string_view version) const
{
    return static_cast<std::size_t>(
        std::count_if(m_open.begin(), m_open.end(), [version](const auto &one) {
            return one.second.attempt.version != version;
        }));
}

VersionRow *VersionObserver::row(const Attempt &attempt, bool isPace)
{
    return isCounted(attempt) ? &m_rows[keyOf(attempt, isPace)] : nullptr;
}

VersionRowKey VersionObserver::keyOf(const Attempt &attempt, bool isPace) const
{
    const bool isNew = attempt.version == m_version;
    std::string aspect = attempt.route;
    if (isPace)
        aspect += paceSuffix;
    return {std::move(aspect), isNew, isNew ? attempt.zone : std::string()};
}

bool VersionObserver::isCounted(const Attempt &attempt) const
{
    return !m_version.empty() && attempt.sentAt >= m_restartedAt
        && m_routes.contains(attempt.route);
}

} // namespace foxtailring
