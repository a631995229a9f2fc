#include "foxtailring/decisions/membership/EpochAge.h"

namespace foxtailring {

// A first epoch that is unknown is that of a store without epochs or without a restore so far.
bool EpochAge::recordSeen(std::int64_t epoch, TimePoint seenAt)
{
    if (m_epoch == epoch)
        return false;
    const bool neverRestored = !m_epoch && epoch == unknownEpoch;
    m_epoch = epoch;
    if (neverRestored)
        return false;
    m_settledFrom = seenAt + m_rewriteTime;
    return true;
}

bool EpochAge::recordSettled(std::int64_t epoch, TimePoint knownAt)
{
    if (epoch == unknownEpoch || m_epoch != epoch || knownAt >= m_settledFrom)
        return false;
    m_settledFrom = knownAt;
    return true;
}

std::optional<std::int64_t> EpochAge::settledEpoch(TimePoint now) const
{
    if (!m_epoch || *m_epoch == unknownEpoch || now < m_settledFrom)
        return std::nullopt;
    return m_epoch;
}

} // namespace foxtailring
