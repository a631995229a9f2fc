#include "foxtailring/decisions/limits/ServerPauses.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"
#include "foxtailring/decisions/servers/BackendTable.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

// The processes that a server turned away together return to it over this time after the pause, or
// over the length of a shorter pause.
constexpr std::chrono::milliseconds maxReturnSpread {500};
// Bounds the memory for servers whose pauses cannot be read.
constexpr std::size_t maxUnreadableIds = 1024;

} // namespace

ServerPauses::ServerPauses(const BackendTable &servers, RandomSource &random)
    : m_servers(servers)
    , m_random(random)
{
}

void ServerPauses::recordAnswer(const BackendInfo &server, const BackendAnswer &answer,
                                TimePoint now)
{
    if (!answer.namesPause)
        return;
    if (!answer.pause)
        return reportUnreadable(server.id);
    const Pause ended {server.address, server.startedAtMs, now, now, true};
    // An answer to a request from before a restart says nothing about the server listed now.
    if (!isCurrent(server.id, ended, now))
        return;
    Pause &pause = m_pauses[server.id];
    // The latest answer may be of a later start than the one before.
    if (!isSameStart(server, pause))
        pause = ended;
    const TimePoint endsAt = now + *answer.pause;
    if (endsAt <= std::max(pause.endsAt, now))
        return;
    pause.endsAt = endsAt;
    const Duration spread = std::min<Duration>(*answer.pause, maxReturnSpread);
    pause.returnAt =
        endsAt + std::chrono::duration_cast<Duration>(m_random.generateDouble() * spread);
    pause.hasReportedEnd = false;
    if (m_hooks.onPaused)
        m_hooks.onPaused(server.id, *answer.pause);
}

std::optional<TimePoint> ServerPauses::pausedUntil(std::string_view serverId, TimePoint now) const
{
    const auto found = m_pauses.find(serverId);
    if (found == m_pauses.end() || found->second.endsAt <= now
        || !isCurrent(serverId, found->second, now))
        return std::nullopt;
    return found->second.endsAt;
}

std::vector<std::string> ServerPauses::pausedIds(TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, pause] : m_pauses) {
        if (pause.endsAt > now && isCurrent(id, pause, now))
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::string> ServerPauses::returningIds(TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto &[id, pause] : m_pauses) {
        if (pause.endsAt <= now && pause.returnAt > now && isCurrent(id, pause, now))
            ids.push_back(id);
    }
    return ids;
}

// A server whose entry is missing may be listed again with the same start, so its pause is kept
// until it is over.
bool ServerPauses::isCurrent(std::string_view serverId, const Pause &pause, TimePoint now) const
{
    const auto listed = m_servers.server(serverId, now);
    return !listed || isSameStart(listed->info, pause);
}

bool ServerPauses::isSameStart(const BackendInfo &server, const Pause &pause)
{
    const bool isStartKnown = server.startedAtMs != 0 && pause.startedAtMs != 0;
    return server.address == pause.address
        && (!isStartKnown || server.startedAtMs == pause.startedAtMs);
}

void ServerPauses::expire(TimePoint now)
{
    for (auto entry = m_pauses.begin(); entry != m_pauses.end();) {
        auto &[id, pause] = *entry;
        const bool isLive = isCurrent(id, pause, now);
        if (pause.endsAt <= now || !isLive)
            reportEnd(id, pause);
        entry = pause.returnAt <= now || !isLive ? m_pauses.erase(entry) : std::next(entry);
    }
    std::erase_if(m_unreadableIds,
                  [this, now](const std::string &id) { return !m_servers.server(id, now); });
}

void ServerPauses::reportEnd(const std::string &serverId, Pause &pause)
{
    if (!std::exchange(pause.hasReportedEnd, true) && m_hooks.onEnded)
        m_hooks.onEnded(serverId);
}

void ServerPauses::reportUnreadable(const std::string &serverId)
{
    const bool isNew =
        m_unreadableIds.size() < maxUnreadableIds && m_unreadableIds.insert(serverId).second;
    if (isNew && m_hooks.onUnreadable)
        m_hooks.onUnreadable(serverId);
}

} // namespace foxtailring
