#include "foxtailring/decisions/generation/GenerationRecords.h"

namespace foxtailring {

GenerationRecords::GenerationRecords(Limits limits)
    : m_limits(limits)
{
}

Result<Done> GenerationRecords::store(const GenerationRecord &record, TimePoint now)
{
    const Key key {record.account, record.idempotencyKey};
    const auto found = m_byKey.find(key);
    if (found != m_byKey.end()) {
        const GenerationRecord &known = found->second->record;
        if (known.bodyHash != record.bodyHash)
            return Error {ErrorCode::Conflict,
                          "the idempotency key was used with another request body"};
        if (known.requestId == record.requestId && record.attempt < known.attempt)
            return Error {ErrorCode::Stale,
                          "attempt " + std::to_string(known.attempt) + " is known already"};
        m_order.erase(found->second);
    }
    m_byKey[key] = m_order.insert(m_order.end(), Entry {record, now});
    if (m_order.size() > m_limits.maxRecords)
        dropOldest();
    return Done {};
}

Result<GenerationRecord> GenerationRecords::find(std::string_view account,
                                                 std::string_view key) const
{
    const auto found = m_byKey.find(Key {account, key});
    if (found == m_byKey.end())
        return Error {ErrorCode::NotFound, "no request of this idempotency key is known here"};
    return found->second->record;
}

void GenerationRecords::expire(TimePoint now)
{
    while (!m_order.empty() && m_order.front().storedAt + m_limits.retention <= now)
        dropOldest();
}

void GenerationRecords::dropOldest()
{
    const GenerationRecord &record = m_order.front().record;
    m_byKey.erase(Key {record.account, record.idempotencyKey});
    m_order.pop_front();
}

} // namespace foxtailring
