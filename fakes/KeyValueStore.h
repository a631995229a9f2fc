#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "StoreTypes.h"

#include <deque>
#include <map>
#include <set>

namespace foxtailring::fakes {

/// \brief Versioned key-value store with transactions, leases and a bounded history of changes,
/// with the meaning that etcd v3 gives them. Not thread-safe.
class KeyValueStore
{
public:
    static constexpr std::size_t maxValueBytes = 1024 * 1024;

    struct Changes
    {
        std::int64_t compactRevision = 0; ///< above 0: earlier changes are no longer kept
        std::vector<StoreEvent> events;
    };

    /// \param historyEvents changes kept for watches; older ones are compacted.
    explicit KeyValueStore(std::size_t historyEvents);

    std::int64_t revision() const;
    /// \brief Carries out one operation of a transaction without conditions.
    Result<TxnReply> apply(const StoreOperation &operation);
    /// \brief InvalidArgument for too large a value, NotFound for an unknown lease; nothing is
    /// changed then.
    Result<TxnReply> transact(const TxnRequest &request);

    /// \brief Changes in \a range with a revision of \a from or above, oldest first.
    Changes changesFrom(std::int64_t from, const KeyRange &range) const;
    /// \brief Forgets the changes below \a revision.
    void compact(std::int64_t revision);

    /// \brief Grants a lease; \a id 0 chooses one. Conflict when \a id is in use.
    Result<std::int64_t> grant(std::int64_t id, Duration timeToLive, TimePoint now);
    /// \brief Renews a lease; its time to live, or NotFound.
    Result<Duration> keepAlive(std::int64_t id, TimePoint now);
    /// \brief Ends a lease and deletes its keys; NotFound when it is unknown.
    Result<Done> revoke(std::int64_t id);
    /// \brief Revokes the leases that are due.
    void expire(TimePoint now);

private:
    struct Lease
    {
        Duration timeToLive;
        TimePoint deadline;
        std::set<std::string> keys;
    };

    Result<Done> check(const std::vector<StoreOperation> &operations) const;
    bool holds(const Compare &compare) const;
    StoreReply put(const PutRequest &request, std::int64_t revision);
    RangeReply range(const RangeRequest &request) const;
    DeleteReply erase(const KeyRange &range, std::int64_t revision);
    void detach(const KeyValue &keyValue);
    void record(StoreEvent event);

    std::size_t m_historyEvents;
    std::int64_t m_revision = 1;
    std::int64_t m_compactRevision = 0;
    // Chosen lease ids lie above 2^53, as in etcd, so that clients that read them as doubles fail.
    std::int64_t m_lastLease = 7'587'848'000'000'000'000;
    std::map<std::string, KeyValue> m_keys;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<StoreEvent> m_history;
};

} // namespace foxtailring::fakes
