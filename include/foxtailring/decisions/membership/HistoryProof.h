#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <vector>

namespace foxtailring {

/// \brief Time up to which a reader of a store's history has read every change. Not thread-safe.
///
/// An answer may hold only the first part of what has changed, so changes prove nothing by
/// themselves: the reader must have read up to a revision that was the newest one at a known time.
class HistoryProof
{
public:
    /// \brief An answer had all changes of the store up to \a answeredUntil: it had none, although
    /// it could have.
    void recordNoChanges(std::int64_t revision, TimePoint answeredUntil);
    /// \brief An answer to a question of \a askedAt had changes up to \a revision, and there may be
    /// more.
    /// \param isNearLimit true if the answer was about as large as the store's answers can be
    void recordChanges(std::int64_t revision, TimePoint askedAt, bool isNearLimit);
    /// \brief The same for an answer that is far smaller than the store's limit. It counts as all
    /// changes if the reader was not behind a short time before; now and then only the newest
    /// revision proves it.
    void recordFewChanges(std::int64_t revision, TimePoint askedAt);
    /// \brief \a revision was the store's newest one between \a askedAt and \a answeredAt, as the
    /// answer to any call showed.
    void recordNewest(std::int64_t revision, TimePoint askedAt, TimePoint answeredAt);

    /// \brief True if only the newest revision can prove what was read or what is read next.
    bool needsNewest() const { return m_needsNewest; }
    /// \brief True if an answer had only a part of the changes that the store had at that time.
    bool isBehind() const { return m_isBehind; }
    /// \brief True if the last answer was large, and may have had the first part of the changes of
    /// a longer time. The newest revision is to be known before more is read.
    bool wasLargeFirstPart() const { return m_wasLarge; }
    /// \brief The clock's epoch if nothing is proved.
    TimePoint provedAt() const { return m_provedAt; }

private:
    struct Newest
    {
        std::int64_t revision = 0;
        TimePoint askedAt;
        TimePoint answeredAt;
    };

    bool hasFallenShort(TimePoint askedAt) const;
    bool isCurrent(TimePoint at) const;
    void prove();

    std::vector<Newest> m_newest; ///< that have not been read up to
    std::int64_t m_revision = 0;  ///< read up to
    TimePoint m_provedAt;
    TimePoint m_answerAskedAt; ///< question of the last small answer with changes
    bool m_needsNewest = false;
    bool m_isBehind = false;
    bool m_wasFirstPart = false; ///< the last answer may have had a part of the changes
    bool m_wasLarge = false;     ///< that part
    int m_unverifiedAnswers = 0; ///< in a row, that counted as all changes
};

} // namespace foxtailring
