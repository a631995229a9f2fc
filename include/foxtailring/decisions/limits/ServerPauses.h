#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

class BackendTable;
class RandomSource;
struct BackendAnswer;
struct BackendInfo;

/// \brief Pauses that backend servers ask for when they turn requests away.
///
/// A pause is kept by each process for itself. It ends with its time, or when the server has
/// another start time or address. Not thread-safe; used on one queue.
class ServerPauses
{
public:
    /// \brief All are optional.
    struct Hooks
    {
        /// A pause began or was extended.
        std::function<void(std::string_view serverId, Duration left)> onPaused;
        std::function<void(std::string_view serverId)> onEnded;
        /// The server asked for a pause that cannot be read; called once per server.
        std::function<void(std::string_view serverId)> onUnreadable;
    };

    /// \param servers must outlive the object, as must \a random
    ServerPauses(const BackendTable &servers, RandomSource &random);

    void setHooks(Hooks hooks) { m_hooks = std::move(hooks); }

    /// \brief An answer to a request to \a server arrived.
    void recordAnswer(const BackendInfo &server, const BackendAnswer &answer, TimePoint now);
    /// \brief End of the pause; none: the server may be sent requests.
    std::optional<TimePoint> pausedUntil(std::string_view serverId, TimePoint now) const;
    std::vector<std::string> pausedIds(TimePoint now) const;
    /// \brief Servers whose pause has just ended, to which this process returns a little later if
    /// others can take its requests.
    std::vector<std::string> returningIds(TimePoint now) const;

    /// \brief Drops pauses that are over, and what is known of servers that are gone.
    void expire(TimePoint now);

private:
    struct Pause
    {
        std::string address;
        std::int64_t startedAtMs = 0;
        TimePoint endsAt;
        TimePoint returnAt; ///< until then other servers are preferred
        bool hasReportedEnd = false;
    };
    using Pauses = std::map<std::string, Pause, std::less<>>;

    /// Whether the server may still be the process that asked for the pause.
    bool isCurrent(std::string_view serverId, const Pause &pause, TimePoint now) const;
    static bool isSameStart(const BackendInfo &server, const Pause &pause);
    void reportEnd(const std::string &serverId, Pause &pause);
    void reportUnreadable(const std::string &serverId);

    const BackendTable &m_servers;
    RandomSource &m_random;
    Hooks m_hooks;
    Pauses m_pauses; ///< by server
    std::set<std::string, std::less<>> m_unreadableIds;
};

} // namespace foxtailring
