#include "KeyValueStore.h"

#include <algorithm>
#include <type_traits>

namespace foxtailring::fakes {

namespace {

const std::string endOfAllKeys(1, '\0');

template <typename T>
bool related(const T &actual, Compare::Relation relation, const T &wanted)
{
    switch (relation) {
    case Compare::Relation::Equal:
        return actual == wanted;
    case Compare::Relation::Greater:
        return actual > wanted;
    case Compare::Relation::Less:
        return actual < wanted;
    case Compare::Relation::NotEqual:
        return actual != wanted;
    }
    return false;
}

std::int64_t numberOf(const KeyValue &keyValue, Compare::Target target)
{
    if (target == Compare::Target::Version)
        return keyValue.version;
    return target == Compare::Target::Create ? keyValue.createRevision : keyValue.modRevision;
}

} // namespace

bool KeyRange::contains(const std::string &other) const
{
    if (end.empty())
        return other == key;
    return other >= key && (end == endOfAllKeys || other < end);
}

KeyValueStore::KeyValueStore(std::size_t historyEvents)
    : m_historyEvents(historyEvents)
{
}

std::int64_t KeyValueStore::revision() const
{
    return m_revision;
}

Result<TxnReply> KeyValueStore::apply(const StoreOperation &operation)
{
    return transact({{}, {operation}, {}});
}

Result<TxnReply> KeyValueStore::transact(const TxnRequest &request)
{
    TxnReply reply;
    reply.succeeded = std::all_of(request.compares.begin(), request.compares.end(),
                                  [this](const Compare &compare) { return holds(compare); });
    const auto &operations = reply.succeeded ? request.success : request.failure;
    const Result<Done> valid = check(operations);
    if (!valid)
        return valid.error();
    // All changes of a transaction share one revision; a transaction without changes takes none.
    const std::int64_t next = m_revision + 1;
    for (const StoreOperation &operation : operations) {
        if (const auto *toPut = std::get_if<PutRequest>(&operation))
            reply.replies.emplace_back(put(*toPut, next));
        else if (const auto *toRead = std::get_if<RangeRequest>(&operation))
            reply.replies.emplace_back(range(*toRead));
        else if (const auto *toDelete = std::get_if<DeleteRequest>(&operation))
            reply.replies.emplace_back(erase(toDelete->range, next));
    }
    reply.revision = m_revision;
    return reply;
}

KeyValueStore::Changes KeyValueStore::changesFrom(std::int64_t from, const KeyRange &range) const
{
    Changes changes;
    if (from < m_compactRevision) {
        changes.compactRevision = m_compactRevision;
        return changes;
    }
    const auto first = std::lower_bound(m_history.begin(), m_history.end(), from,
                                        [](const StoreEvent &event, std::int64_t revision) {
                                            return event.current.modRevision < revision;
                                        });
    std::copy_if(first, m_history.end(), std::back_inserter(changes.events),
                 [&range](const StoreEvent &event) { return range.contains(event.current.key); });
    return changes;
}

void KeyValueStore::compact(std::int64_t revision)
{
    m_compactRevision = std::max(m_compactRevision, std::min(revision, m_revision));
    while (!m_history.empty() && m_history.front().current.modRevision < m_compactRevision)
        m_history.pop_front();
}

Result<std::int64_t> KeyValueStore::grant(std::int64_t id, Duration timeToLive, TimePoint now)
{
    if (m_leases.contains(id))
        return {ErrorCode::Conflict, "lease " + std::to_string(id) + " already exists"};
    while (id == 0 || m_leases.contains(id))
        id = ++m_lastLease;
    m_leases[id] = {timeToLive, now + timeToLive, {}};
    return id;
}

Result<Duration> KeyValueStore::keepAlive(std::int64_t id, TimePoint now)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return {ErrorCode::NotFound, "requested lease not found"};
    found->second.deadline = now + found->second.timeToLive;
    return found->second.timeToLive;
}

Result<Done> KeyValueStore::revoke(std::int64_t id)
{
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
        return {ErrorCode::NotFound, "requested lease not found"};
    const std::set<std::string> keys = found->second.keys;
    const std::int64_t next = m_revision + 1;
    for (const std::string &key : keys)
        erase({key, {}}, next);
    m_leases.erase(id);
    return Done {};
}

void KeyValueStore::expire(TimePoint now)
{
    std::vector<std::int64_t> due;
    for (const auto &[id, lease] : m_leases) {
        if (lease.deadline <= now)
            due.push_back(id);
    }
    for (const std::int64_t id : due)
        (void)revoke(id);
}

Result<Done> KeyValueStore::check(const std::vector<StoreOperation> &operations) const
{
    std::set<std::string> keys;
    for (const StoreOperation &operation : operations) {
        const auto *toPut = std::get_if<PutRequest>(&operation);
        if (toPut == nullptr)
            continue;
        if (toPut->key.empty())
            return {ErrorCode::InvalidArgument, "key is not provided"};
        if (!keys.insert(toPut->key).second)
            return {ErrorCode::InvalidArgument, "duplicate key given in txn request"};
        if (toPut->value.size() > maxValueBytes)
            return {ErrorCode::InvalidArgument, "request is too large"};
        if (toPut->lease != 0 && !m_leases.contains(toPut->lease))
            return {ErrorCode::NotFound, "requested lease not found"};
    }
    return Done {};
}

bool KeyValueStore::holds(const Compare &compare) const
{
    const auto found = m_keys.find(compare.key);
    if (compare.target == Compare::Target::Value) // etcd: never true for a key that does not exist
        return found != m_keys.end()
            && related(found->second.value, compare.relation, compare.value);
    const KeyValue actual = found == m_keys.end() ? KeyValue() : found->second;
    return related(numberOf(actual, compare.target), compare.relation, compare.number);
}

StoreReply KeyValueStore::put(const PutRequest &request, std::int64_t revision)
{
    KeyValue &stored = m_keys[request.key];
    detach(stored);
    if (stored.version == 0)
        stored.createRevision = revision;
    stored.key = request.key;
    stored.value = request.value;
    stored.modRevision = revision;
    stored.lease = request.lease;
    ++stored.version;
    if (request.lease != 0)
        m_leases.at(request.lease).keys.insert(request.key);
    record({false, stored});
    return PutReply {};
}

RangeReply KeyValueStore::range(const RangeRequest &request) const
{
    RangeReply reply;
    for (auto at = m_keys.lower_bound(request.range.key);
         at != m_keys.end() && request.range.contains(at->first); ++at) {
        ++reply.count;
        if (request.countOnly)
            continue;
        if (request.limit > 0 && reply.count > request.limit) {
            reply.more = true;
            continue;
        }
        reply.keyValues.push_back(at->second);
        if (request.keysOnly)
            reply.keyValues.back().value.clear();
    }
    return reply;
}

DeleteReply KeyValueStore::erase(const KeyRange &range, std::int64_t revision)
{
    DeleteReply reply;
    auto at = m_keys.lower_bound(range.key);
    while (at != m_keys.end() && range.contains(at->first)) {
        detach(at->second);
        StoreEvent event {true, {}};
        event.current.key = at->first;
        event.current.modRevision = revision;
        at = m_keys.erase(at);
        record(std::move(event));
        ++reply.deleted;
    }
    return reply;
}

void KeyValueStore::detach(const KeyValue &keyValue)
{
    const auto lease = m_leases.find(keyValue.lease);
    if (lease != m_leases.end())
        lease->second.keys.erase(keyValue.key);
}

void KeyValueStore::record(StoreEvent event)
{
    m_revision = event.current.modRevision;
    m_history.push_back(std::move(event));
    if (m_history.size() > m_historyEvents)
        compact(m_history[m_history.size() - m_historyEvents].current.modRevision);
}

} // namespace foxtailring::fakes
