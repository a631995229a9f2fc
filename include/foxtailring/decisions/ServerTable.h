#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/ListedServer.h"
#include "foxtailring/decisions/ReportEffect.h"
#include "foxtailring/decisions/ServerState.h"
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

/// \brief Backend servers by service, as one entry knows them. Thread-safe.
///
/// Its lock comes after that of ConfigState and before that of AdmissionController (design page,
/// section 5). It calls nothing outside while it holds the lock.
class ServerTable
{
public:
    struct Settings
    {
        /// A server missing from the list is dropped after this long without list entry or contact.
        Duration dropAfter = std::chrono::seconds(60);
        /// A report younger than this decides whether the server is leaving; else the list does.
        Duration reportTrustPeriod = std::chrono::seconds(15);
    };

    ServerTable();
    explicit ServerTable(Settings settings);

    /// \brief Takes the whole VM list. The list lags, so a server that is in contact stays.
    void applyVmList(std::span<const ListedServer> list, TimePoint now);
    /// \brief Takes a server's own report, which counts as contact.
    ReportEffect applyReport(const LoadReport &report, TimePoint now);

    /// \brief Silence or a reset: no new work until the next contact.
    void markSuspected(std::string_view serverId, TimePoint now);
    /// \brief Contact: a frame arrived or a connection was made.
    void markReachable(std::string_view serverId, TimePoint now);
    /// \brief Re-attaching failed as well: gone until the next contact.
    void markLost(std::string_view serverId, TimePoint now);

    /// \brief Counts one attempt or call of this entry; each one needs one endWork().
    void startWork(std::string_view serverId);
    void endWork(std::string_view serverId);

    /// \brief Restricts candidates of \a service to these servers; an empty list lifts it.
    void setSubset(std::string_view service, std::vector<std::string> serverIds);

    /// \brief Servers of \a service that may take new work: live ones, by id.
    std::vector<ServerState> candidates(std::string_view service, TimePoint now) const;
    /// \brief All known servers of \a service in any state, by id, followed or not.
    std::vector<ServerState> servers(std::string_view service, TimePoint now) const;
    std::optional<ServerState> server(std::string_view serverId, TimePoint now) const;
    std::vector<std::string> services() const;
    std::size_t size() const;

private:
    enum class Reachability : std::uint8_t { Normal, Suspected, Lost };

    struct Record
    {
        ServerState state; ///< without reportAge and state, which depend on the time
        TimePoint lastContact;
        TimePoint lastReport;
        TimePoint lastListed;
        std::uint64_t sequence = 0;
        std::optional<std::uint64_t> previousIncarnation;
        Reachability reachability = Reachability::Normal;
        bool contacted = false;
        bool reported = false;
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
