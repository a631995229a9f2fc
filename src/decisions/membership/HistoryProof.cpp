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
// Two proofs so close to each other are worth the same.
constexpr std::chrono::milliseconds minGain {100};

} // namespace

void HistoryProof::recordNoChanges(std::int64_t revision, TimePoint answeredUntil)
{
    m_revision = std::max(m_revision, revision);
    m_provedAt = std::max(m_provedAt, answeredUntil);
    m_wasFirstPart = false;
    m_wasLarge = false;
    m_needsNewest = false;
    m_unverifiedAnswers = 0;
    prove();
}

// The newest revision, if it is due, is asked for beside the poll. It may be newer than the answer
// by a change in between, so the answer falls short only if the poll was sent later.
void HistoryProof::recordFewChanges(std::int64_t revision, TimePoint askedAt)
{
    const bool wasCurrent = isCurrent(askedAt);
    const bool wasBehind = m_isBehind;
    m_revision = std::max(m_revision, revision);
    m_answerAskedAt = askedAt;
    m_wasFirstPart = !wasCurrent;
    m_wasLarge = false;
    prove();
    m_isBehind = hasFallenShort(askedAt);
    if (!wasCurrent || wasBehind || m_isBehind) {
        m_needsNewest = true;
        return;
    }
    // One of them may have been in the store when it answered.
    const bool isDoubtful = std::ranges::any_of(
        m_newest, [askedAt](const Newest &newest) { return newest.askedAt <= askedAt; });
    if (isDoubtful || askedAt - m_provedAt < minGain)
        return;
    if (m_unverifiedAnswers < maxUnverifiedAnswers) {
        ++m_unverifiedAnswers;
        m_provedAt = askedAt;
    }
    m_needsNewest = m_unverifiedAnswers >= maxUnverifiedAnswers;
}

// A single large value fills no answer: unless the reader was away, what came after it is read with
// the next poll.
void HistoryProof::recordChanges(std::int64_t revision, TimePoint askedAt, bool isNearLimit)
{
    const bool wasCurrent = isCurrent(askedAt);
    m_revision = std::max(m_revision, revision);
    m_wasFirstPart = isNearLimit || !wasCurrent;
    m_wasLarge = m_wasFirstPart;
    prove();
    m_isBehind = hasFallenShort(askedAt);
    m_needsNewest = m_wasFirstPart || m_isBehind || askedAt - m_provedAt >= minGain;
}

// The poll beside the question, if it is still under way, shows whether the reader is behind. A
// current reader reads newer changes with its next poll in any case.
void HistoryProof::recordNewest(std::int64_t revision, TimePoint askedAt, TimePoint answeredAt)
{
    if (m_newest.size() >= maxNewest)
        m_newest.erase(m_newest.begin());
    m_newest.push_back({revision, askedAt, answeredAt});
    prove();
    const bool isPollAnswered = m_wasLarge || askedAt <= m_answerAskedAt;
    if (revision > m_revision && m_wasFirstPart && isPollAnswered)
        m_isBehind = true;
    if (!m_isBehind)
        m_needsNewest = false;
}

// True if the store had newer changes when it answered a question of askedAt.
bool HistoryProof::hasFallenShort(TimePoint askedAt) const
{
    return std::ranges::any_of(m_newest, [&](const Newest &newest) {
        return m_wasFirstPart || newest.answeredAt <= askedAt;
    });
}

bool HistoryProof::isCurrent(TimePoint at) const
{
    return m_provedAt != TimePoint {} && at - m_provedAt <= maxUnprovedTime;
}

void HistoryProof::prove()
{
    const std::size_t proved = std::erase_if(m_newest, [this](const Newest &newest) {
        if (newest.revision > m_revision)
            return false;
        m_provedAt = std::max(m_provedAt, newest.askedAt);
        return true;
    });
    if (proved > 0)
        m_unverifiedAnswers = 0;
    if (m_newest.empty())
        m_isBehind = false;
}

} // namespace foxtailring
