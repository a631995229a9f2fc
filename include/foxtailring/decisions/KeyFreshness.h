#pragma once

#include "foxtailring/base/Clock.h"

#include <optional>

namespace foxtailring {

/// \brief Whether the keys that a process knows may still be relied on.
///
/// A key can be withdrawn while the process cannot hear of it. So it relies on its keys only as
/// long as the platform's store proved them within the time in which a withdrawal must take effect.
/// Times are those of a clock that counts suspended time. Not thread-safe.
class KeyFreshness
{
public:
    /// \param bound time from a withdrawal to its effect everywhere
    /// \param margin for what passes between a caller's sending and the check
    KeyFreshness(Duration bound, Duration margin)
        : m_limit(bound - margin)
    {
    }

    /// \brief The store's answer to a call made at \a askedAt held everything up to then.
    void recordProof(TimePoint askedAt);
    bool isFresh(TimePoint now) const;
    /// \brief Time since the last proof; none when there was none.
    std::optional<Duration> age(TimePoint now) const;

private:
    const Duration m_limit;
    std::optional<TimePoint> m_provedAt;
};

} // namespace foxtailring
