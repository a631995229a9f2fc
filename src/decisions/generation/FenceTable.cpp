#include "foxtailring/decisions/generation/FenceTable.h"

namespace foxtailring {

namespace {

Error stale(const AttemptId &id, std::uint32_t highest)
{
    return {ErrorCode::Stale,
            "attempt " + std::to_string(id.attempt) + " of request " + id.requestId
                + " is not newer than attempt " + std::to_string(highest)};
}

} // namespace

FenceTable::FenceTable(Duration maxAge)
    : m_maxAge(maxAge)
{
}

Result<Done> FenceTable::admit(const AttemptId &id, TimePoint now)
{
    const auto [fence, isNew] = m_requests.try_emplace(id.requestId, Fence {id.attempt, now});
    if (isNew)
        return Done {};
    if (id.attempt <= fence->second.attempt)
        return stale(id, fence->second.attempt);
    fence->second = {id.attempt, now};
    return Done {};
}

Result<Done> FenceTable::check(const AttemptId &id) const
{
    const auto fence = m_requests.find(id.requestId);
    if (fence != m_requests.end() && id.attempt < fence->second.attempt)
        return stale(id, fence->second.attempt);
    return Done {};
}

void FenceTable::expire(TimePoint now)
{
    std::erase_if(m_requests,
                  [&](const auto &entry) { return entry.second.admittedAt + m_maxAge <= now; });
}

} // namespace foxtailring
