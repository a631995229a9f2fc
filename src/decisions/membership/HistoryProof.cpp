#include "foxtailring/decisions/membership/HistoryProof.h"

#include <algorithm>

namespace foxtailring {

namespace {

// More are asked for only while the reader stays behind; the latest ones prove the most.
constexpr std::size_t maxNewest = 8;

} // namespace

void HistoryProof::recordNoChanges(std::int64_t revision, TimePoint answeredUntil)
{
    m_revision = std::max(m_revision, revision);
    m_provedAt = std::max(m_provedAt, answeredUntil);
    m_needsNewest = false;
    prove();
}

void HistoryProof::recordChanges(std::int64_t revision)
{
    m_revision = std::max(m_revision, revision);
    m_needsNewest = true;
    prove();
}

void HistoryProof::recordNewest(std::int64_t revision, TimePoint askedAt)
{
    if (m_newest.size() >= maxNewest)
        m_newest.erase(m_newest.begin());
    m_newest.push_back({revision, askedAt});
    prove();
}

void HistoryProof::prove()
{
    std::erase_if(m_newest, [this](const Newest &newest) {
        if (newest.revision > m_revision)
            return false;
        m_provedAt = std::max(m_provedAt, newest.askedAt);
        return true;
    });
}

} // namespace foxtailring
