#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/BackendState.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Backend servers that are reached directly, as one process knows them.
///
/// Joins the platform's list with what the process sees on its own requests: failures, load, work
/// in flight. Not thread-safe; used on one queue.
///
/// Answers the load of a failing availability zone: many servers fall silent within a second, most
/// of them between two requests of this process.
class BackendTable
{
public:
    struct Settings
    {
        /// A failed server takes no work for this long when others can, and twice as long each time
        /// that it fails again.
        Duration minSuspicion = std::chrono::milliseconds(600);
        Duration maxSuspicion = std::chrono::milliseconds(2400);
        /// Failures of this many servers of a service in one zone within \a zoneFailureWindow make
        /// the others there doubtful until they are heard of again, for \a maxDoubt at most.
        std::size_t zoneFailureThreshold = 2;
        Duration zoneFailureWindow = std::chrono::milliseconds(1500);
        Duration maxDoubt = std::chrono::milliseconds(1500);
        /// Entries that vanished while the list was away are kept until this long after its return:
        /// servers that live are listed again by then.
        Duration unlistedGrace = std::chrono::milliseconds(2000);
    };

    /// \brief What is told when a belief about a server changes. All are optional.
    struct Hooks
    {
        std::function<void(const BackendInfo &, Duration avoidedFor)> onSuspected;
        std::function<void(const BackendInfo &)> onRecovered; ///< it was heard of while suspected
        /// Another server, or a later start of it, has its address.
        std::function<void(const BackendInfo &)> onReplaced;
    };

    BackendTable();
    explicit BackendTable(Settings settings);

    void setHooks(Hooks hooks) { m_hooks = std::move(hooks); }

    /// \brief Takes the whole list.
    void replace(std::span<const BackendInfo> list, TimePoint now);
    void put(const BackendInfo &info, TimePoint now);
    void remove(std::string_view id, TimePoint now);
    /// \brief The list cannot be read; entries that vanish now may only have lapsed.
    void onListLost();
    /// \brief The list can be read again.
    void onListRestored(TimePoint now);

    void startWork(std::string_view id);
    void endWork(std::string_view id);
    void startCopy(std::string_view id);
    void endCopy(std::string_view id);

    /// \brief The server sent something: it answers.
    void recordContact(std::string_view id, TimePoint now);
    /// \brief Result of a request that the server answered.
    void recordAnswer(std::string_view id, bool isFailure, TimePoint now);
    void updateLoad(std::string_view id, const BackendLoadReport &load, TimePoint now);
    /// \brief No connection, a reset, or silence.
    void recordFailure(std::string_view id, TimePoint now);
    /// \brief Another server has its address.
    /// \param successorId id of that server; while the list cannot be read it is taken for a
    /// restart of the same service, until the list tells. Empty: not known, or not to be used.
    void recordReplacement(std::string_view id, std::string_view successorId, TimePoint now);

    /// \brief The server at its address told when it started. True: that is another start than the
    /// listed one, which has lost what it ran and kept.
    bool detectRestart(std::string_view id, std::int64_t startedAtMs);

    std::optional<BackendState> server(std::string_view id, TimePoint now) const;
    /// \brief Servers of \a service that may take new work, by id; suspected ones included.
    std::vector<BackendState> candidates(std::string_view service, TimePoint now) const;
    /// \brief Ids of candidates().
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
        TimePoint lastContactAt;
        TimePoint failedAt;
        TimePoint suspectedUntil;
        bool isUnlisted = false; ///< not listed any more, kept for a while
        bool isReplaced = false; ///< another server has its address
    };
    using Records = std::map<std::string, Record, std::less<>>;

    struct ZoneFailure
    {
        std::size_t count = 0; ///< servers that failed just now
        TimePoint firstAt;
    };
    using ZoneFailures = std::map<std::string_view, ZoneFailure>;

    Record *find(std::string_view id);
    void insertOrUpdate(const BackendInfo &info, TimePoint now);
    BackendState stateOf(const Record &record, const ZoneFailures &failures, TimePoint now) const;
    ZoneFailures recentZoneFailures(std::string_view service, TimePoint now) const;
    bool isDoubtful(const Record &record, const ZoneFailures &failures, TimePoint now) const;
    bool isRetained(const Record &record, TimePoint now) const;
    void eraseExpired(TimePoint now);
    void eraseRecord(std::string_view id);
    void markOthersReplaced(const Record &latest);
    void markReplaced(Record &record);

    bool isCandidate(const Record &record, std::string_view service, TimePoint now) const;

    const Settings m_settings;
    Hooks m_hooks;
    Records m_records;
    // Ids, so that no change of one server looks at all others.
    std::map<std::string, std::set<std::string>, std::less<>> m_idsByAddress;
    std::set<std::string, std::less<>> m_unlistedIds;
    std::set<std::string, std::less<>>
        m_recentlyFailedIds; ///< within the zone window, as far as looked at
    bool m_isListUnavailable = false;
    TimePoint m_unlistedGraceEnd;
};

} // namespace foxtailring
