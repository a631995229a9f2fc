#include "foxtailring/decisions/membership/HistoryProof.h"

#include <algorithm>

namespace foxtailring {

namespace {

// More are asked for only while the reader stays behind; the latest ones prove the most.
constexpr std::size_t maxNewest = 8;
// The changes of so short a time do not fill an answer, so a small one is not the first part of
// them.
constexpr std::chrono::seconds maxUnprovedTime {4};
// A store that answers in smaller parts than is known is found out after so many answers.
constexpr int maxUnverifiedAnswers = 4;

} // namespace

void HistoryProof::recordNoChanges(std::int64_t revision, TimePoint answeredUntil)
{
    m_revision = std::max(m_revision, revision);
    m_provedAt = std::max(m_provedAt, answeredUntil);
    m_needsNewest = false;
    m_unverifiedAnswers = 0;
    prove();
}

// A question for the newest revision after each answer would double the calls to the store.
void HistoryProof::recordFewChanges(std::int64_t revision, TimePoint askedAt)
{
    const bool wasCurrent = m_provedAt != TimePoint {} && askedAt - m_provedAt <= maxUnprovedTime;
    recordChanges(revision);
    if (!wasCurrent || isBehind() || m_unverifiedAnswers >= maxUnverifiedAnswers)
        return;
    ++m_unverifiedAnswers;
    m_provedAt = std::max(m_provedAt, askedAt);
    m_needsNewest = false;
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
    m_unverifiedAnswers = 0;
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
