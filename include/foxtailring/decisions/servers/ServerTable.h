#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/ListedServer.h"
#include "foxtailring/decisions/servers/ReportEffect.h"
#include "foxtailring/decisions/servers/ServerState.h"
#include "foxtailring/protocol/LoadReport.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief The backend servers that one entry knows, by service.
///
/// Merges the platform's VM list, the servers' load reports and the entry's own contact with them.
/// Thread-safe. Lock order: ConfigState, ServerTable, AdmissionController. No callbacks run under
/// its lock.
class ServerTable
{
public:
    struct Settings
    {
        /// A server is dropped after this time without being listed and without contact.
        Duration dropAfter = std::chrono::seconds(60);
        /// A report younger than this decides whether the server is leaving; otherwise the VM list
        /// does.
        Duration reportTrustPeriod = std::chrono::seconds(15);
    };

    ServerTable();
    explicit ServerTable(Settings settings);

    /// \brief Applies the complete VM list. The list lags, so a server that is missing from it but
    /// still in contact stays.
    void applyVmList(std::span<const ListedServer> list, TimePoint now);
    /// \brief Applies a server's load report. Counts as contact, unless the report is from an
    /// earlier incarnation.
    ReportEffect applyReport(const LoadReport &report, TimePoint now);

    /// \brief For a silent server or a reset: no new work until the next contact.
    void markSuspected(std::string_view serverId, TimePoint now);
    /// \brief Records contact: a frame arrived or a connection was made.
    void markReachable(std::string_view serverId, TimePoint now);
    /// \brief For a server to which reattaching failed as well: no new work until the next contact.
    void markLost(std::string_view serverId, TimePoint now);

    /// \brief Counts an attempt or call as in flight until the matching endWork().
    void startWork(std::string_view serverId);
    void endWork(std::string_view serverId);

    /// \brief Restricts the candidates of \a service to these servers; an empty list removes the
    /// restriction.
    void setSubset(std::string_view service, std::vector<std::string> serverIds);

    /// \brief Returns the live servers of \a service in the subset, sorted by id.
    std::vector<ServerState> candidates(std::string_view service, TimePoint now) const;
    /// \brief Returns all known servers of \a service, whatever their status and subset, sorted by
    /// id.
    std::vector<ServerState> servers(std::string_view service, TimePoint now) const;
    std::optional<ServerState> server(std::string_view serverId, TimePoint now) const;
    std::vector<std::string> services() const;
    std::size_t size() const;

private:
    enum class Reachability : std::uint8_t { Normal, Suspected, Lost };

    struct Record
    {
        ServerState state; ///< reportAge, status and inSubset are set by snapshot()
        TimePoint lastContact;
        TimePoint lastReport;
        TimePoint lastListed;
        std::uint64_t sequence = 0;
        std::optional<std::uint64_t> previousIncarnation;
        Reachability reachability = Reachability::Normal;
        bool hasContact = false;
        bool hasReport = false;
        bool reportedLeaving = false;
        bool listedLeaving = false;
        bool inSubset = false;
    };
    using Records = std::map<std::string, Record, std::less<>>;

    void applyListed(const ListedServer &listed, TimePoint now);
    void dropExpired(TimePoint now);
    void addToIndex(Record &record);
    void removeFromIndex(const Record &record);
    void setReachability(std::string_view serverId, Reachability reachability);
    bool isInSubset(const Record &record) const;
    bool isLeaving(const Record &record, TimePoint now) const;
    ServerState snapshot(const Record &record, TimePoint now) const;

    const Settings m_settings;
    mutable std::mutex m_mutex;
    Records m_records;
    std::map<std::string, std::vector<Record *>, std::less<>> m_byService;  ///< sorted by id
    std::map<std::string, std::vector<std::string>, std::less<>> m_subsets; ///< sorted ids
};

} // namespace foxtailring
