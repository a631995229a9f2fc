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
    /// \brief Changes up to \a revision were read, and there may be more.
    void recordChanges(std::int64_t revision);
    /// \brief The same for an answer to a question of \a askedAt that is far smaller than the
    /// store's limit. It counts as all changes if the reader was not behind a short time before;
    /// now and then only the newest revision proves it.
    void recordFewChanges(std::int64_t revision, TimePoint askedAt);
    /// \brief \a revision was the store's newest one at \a askedAt or later.
    void recordNewest(std::int64_t revision, TimePoint askedAt);

    /// \brief True if only the newest revision can prove what was read.
    bool needsNewest() const { return m_needsNewest; }
    /// \brief True if there are changes that have not been read.
    bool isBehind() const { return !m_newest.empty(); }
    /// \brief The clock's epoch if nothing is proved.
    TimePoint provedAt() const { return m_provedAt; }

private:
    struct Newest
    {
        std::int64_t revision = 0;
        TimePoint askedAt;
    };

    void prove();

    std::vector<Newest> m_newest; ///< that have not been read up to
    std::int64_t m_revision = 0;  ///< read up to
    TimePoint m_provedAt;
    bool m_needsNewest = false;
    int m_unverifiedAnswers = 0; ///< in a row, that counted as all changes
};

} // namespace foxtailring
