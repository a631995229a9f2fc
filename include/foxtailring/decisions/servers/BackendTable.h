#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/BackendState.h"
#include "foxtailring/decisions/servers/EngineSpeeds.h"
#include "foxtailring/decisions/servers/LeavingNotice.h"
#include "foxtailring/decisions/servers/LeavingSource.h"
#include "foxtailring/decisions/servers/ServerIdentities.h"
#include "foxtailring/decisions/servers/ServerPace.h"
#include "foxtailring/decisions/servers/ServerStarts.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief What one process knows about the backend servers that it sends requests to.
///
/// Combines the platform's server list with what the process sees itself: failures, load reports
/// and its own requests in flight. Not thread-safe; used on one queue.
///
/// When an availability zone fails, many servers stop answering within a second, most of them while
/// this process has no request there. Failures of some servers therefore make the others in their
/// zone doubtful.
class BackendTable
{
public:
    struct Settings
    {
        /// How long a failed server is avoided; doubles with each consecutive failure.
        Duration minSuspicion = std::chrono::milliseconds(600);
        Duration maxSuspicion = std::chrono::milliseconds(2400);
        /// If this many servers of a service fail in one zone within \a zoneFailureWindow, the
        /// others there are doubtful until the next contact, for at most \a maxDoubt.
        std::size_t zoneFailureThreshold = 2;
        Duration zoneFailureWindow = std::chrono::milliseconds(1500);
        Duration maxDoubt = std::chrono::milliseconds(1500);
        /// Servers whose entries disappear while the list cannot be read are kept for this long
        /// after it is readable again: live servers have renewed their entries by then.
        Duration unlistedGrace = std::chrono::milliseconds(2000);
        /// A restored entry of a server that has gone ends with its lease before this time is over.
        /// One that stays may be of a live server, which wrote it after the restore but before the
        /// list was read.
        Duration goneHold = std::chrono::seconds(30);
        ServerIdentities::Settings identities;
    };

    /// \brief Called when the state of a server changes. All are optional.
    struct Hooks
    {
        std::function<void(const BackendInfo &, Duration avoidedFor)> onSuspected;
        std::function<void(const BackendInfo &)> onRecovered; ///< contact with a suspected server
        /// Another server, or the same one after a restart, seems to have its address.
        std::function<void(const BackendInfo &)> onReplaced;
        /// A server has its address after all, or may have it for all that is still known.
        std::function<void(const BackendInfo &)> onReplacementEnded;
        std::function<void(const BackendInfo &, LeavingSource)> onLeaving;
        /// A server that left has gone, has restarted, or is no longer listed as leaving.
        std::function<void(const BackendInfo &)> onLeavingEnded;
        /// An answer does not say clearly whether the server leaves; once for each start of it.
        std::function<void(const BackendInfo &)> onNoticeUnreadable;
    };

    BackendTable();
    explicit BackendTable(Settings settings);

    void setHooks(Hooks hooks);

    /// \brief Replaces the server list; servers that are not in \a list are removed.
    void replace(std::span<const BackendInfo> list, TimePoint now);
    /// \brief Takes over a list from a store that was restored from a backup. Its entries may be
    /// older than what is known: they bring back no server that drains or has restarted since, and
    /// one that has gone only if it is still listed after Settings::goneHold. Servers that are not
    /// in \a list are kept for Settings::unlistedGrace.
    void mergeRestored(std::span<const BackendInfo> list, TimePoint now);
    /// \brief A server wrote its entry.
    void put(const BackendInfo &info, TimePoint now);
    void remove(std::string_view id, TimePoint now);
    /// \brief The list cannot be read. Servers removed from now on are kept, since their leases may
    /// just have expired.
    void onListLost(TimePoint now);
    void onListRestored(TimePoint now);
    /// \brief Sets the services that the configuration in force names. Entries of other services
    /// say nothing about other servers.
    void setNamedServices(ServerIdentities::Names services, TimePoint now);
    /// \brief Drops servers whose grace is over, uses those that a restored list has kept for
    /// Settings::goneHold although they had gone, and ends what ServerIdentities has believed for
    /// long enough. To be called regularly.
    void expire(TimePoint now);

    void startWork(std::string_view id);
    void endWork(std::string_view id);
    void startCopy(std::string_view id);
    void endCopy(std::string_view id);

    /// \brief The server sent something, so it is healthy.
    void recordContact(std::string_view id, TimePoint now);
    /// \brief Records contact, and whether the request failed.
    void recordAnswer(std::string_view id, bool isFailure, TimePoint now);
    void updateLoad(std::string_view id, const BackendLoadReport &load, TimePoint now);
    /// \brief An answer gave these figures.
    void recordFigures(std::string_view id, const LoadFigures &figures, TimePoint now);
    /// \brief How long work takes at each server.
    ServerPace &pace() { return m_pace; }
    const ServerPace &pace() const { return m_pace; }
    /// \brief How long runs take at each engine.
    EngineSpeeds &speeds() { return m_speeds; }
    const EngineSpeeds &speeds() const { return m_speeds; }
    /// \brief No connection, a reset, or a timeout.
    void recordFailure(std::string_view id, TimePoint now);
    /// \brief The server itself answered a request.
    /// \param server as it was when the request was sent
    void confirmIdentity(const BackendInfo &server, TimePoint now);
    /// \brief Another server answered at the address of \a id.
    /// \param successorId id of that server. While the list cannot be read, it is added as a
    /// restarted server if it had an entry before, which names its service. Empty: unknown, or not
    /// to be added.
    void recordReplacement(std::string_view id, std::string_view successorId, TimePoint now);

    /// \brief An answer said whether its server leaves. It gets no new work from then on, whatever
    /// its entry says, until it restarts.
    /// \param server as it was when the request was sent
    void recordNotice(const BackendInfo &server, LeavingNotice notice);

    /// \brief A report has this start time. Restarted: the runs and copies there are lost.
    ReportedStart recordReport(std::string_view id, std::int64_t startedAtMs, TimePoint now)
    {
        return m_identities.recordReport(id, startedAtMs, now);
    }
    /// \brief A connection to the server was lost, or could not be made.
    void recordConnectionLost(std::string_view id, TimePoint now)
    {
        m_identities.recordConnectionLost(id, now);
    }

    /// \brief True if another start of the server than this one is listed, so that an answer of
    /// \a server says nothing about it.
    /// \param server as it was when the request was sent
    bool hasOtherStart(const BackendInfo &server) const;

    /// \brief True if the server is known, does not leave and was not replaced, as of the latest
    /// expire().
    bool acceptsNewWork(std::string_view id) const;
    std::optional<BackendState> server(std::string_view id, TimePoint now) const;
    /// \brief Servers of \a service that accept new requests, sorted by id, including suspected
    /// ones.
    std::vector<BackendState> candidates(std::string_view service, TimePoint now) const;
    /// \brief The other known servers of the same service in the same zone, whether they accept new
    /// requests or not.
    std::vector<BackendState> zonePeers(const BackendInfo &server, TimePoint now) const;
    std::vector<std::string> candidateIds(std::string_view service, TimePoint now) const;
    std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        BackendInfo info;
        std::uint32_t inFlight = 0;
        std::uint32_t copies = 0;
        double failureRate = 0;
        std::uint32_t consecutiveFailures = 0;
        std::optional<BackendLoadReport> load;
        TimePoint loadReceivedAt;
        ReportedLoad reported;
        TimePoint lastContactAt;
        TimePoint failedAt;
        TimePoint suspectedUntil;
        bool saysLeaving = false; ///< in an answer
        bool hasUnreadableNotice = false;
        bool isUnlisted = false; ///< no longer in the list, but kept for now
    };
    using Records = std::map<std::string, Record, std::less<>>;

    struct ZoneFailure
    {
        std::size_t count = 0; ///< servers that failed within the window
        TimePoint firstAt;
    };
    struct HeldServer
    {
        BackendInfo info;
        TimePoint until;
    };

    using ZoneFailures = std::map<std::string_view, ZoneFailure>;

    Record *find(std::string_view id);
    void insertOrUpdate(const BackendInfo &info, TimePoint now);
    BackendInfo latestOf(const BackendInfo &restored) const;
    BackendState stateOf(const Record &record, const ZoneFailures &failures, TimePoint now) const;
    ZoneFailures recentZoneFailures(std::string_view service, TimePoint now) const;
    bool isDoubtful(const Record &record, const ZoneFailures &failures, TimePoint now) const;
    bool isRetained(const Record &record, TimePoint now) const;
    void eraseExpired(TimePoint now);
    void eraseRecord(std::string_view id);
    void addSuccessor(const std::string &address, std::string_view id, TimePoint now);

    static bool isLeaving(const Record &record);
    void reportLeaving(const Record &record, bool wasLeaving, LeavingSource source) const;
    bool isReplaced(const Record &record, TimePoint now) const;
    bool acceptsNewWork(const Record &record, TimePoint now) const;
    bool isCandidate(const Record &record, std::string_view service, TimePoint now) const;

    const Settings m_settings;
    Hooks m_hooks;
    Records m_records;
    ServerStarts m_leavingServers; ///< that said so in an answer
    ServerStarts m_goneServers;    ///< whose entries were removed
    /// In m_goneServers, but listed in a restored store; by id.
    std::map<std::string, HeldServer, std::less<>> m_heldServers;
    ServerIdentities m_identities;
    ServerPace m_pace;
    EngineSpeeds m_speeds;
    // Sets of ids, so that a change of one server does not scan all others.
    std::set<std::string, std::less<>> m_unlistedIds;
    /// Failed within the zone failure window; pruned on the next failure.
    std::set<std::string, std::less<>> m_recentlyFailedIds;
    bool m_isListUnavailable = false;
    TimePoint m_unlistedGraceEnd;
    TimePoint m_expiredAt; ///< latest call of expire()
};

} // namespace foxtailring
