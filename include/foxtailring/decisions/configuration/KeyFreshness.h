#pragma once

#include "foxtailring/base/Clock.h"

#include <optional>

namespace foxtailring {

/// \brief Tells whether a process may still trust its copy of the API keys. Not thread-safe.
///
/// A process that cannot reach the platform's store does not learn that a key was revoked. It must
/// therefore confirm its keys with the store at least once within the time in which a revocation
/// must take effect. All times are from bootClock().
class KeyFreshness
{
public:
    /// \param bound maximum time from a revocation to its effect everywhere
    /// \param margin allowance for the time between sending a request and checking its key
    KeyFreshness(Duration bound, Duration margin)
        : m_limit(bound - margin)
    {
    }

    /// \brief The store confirmed all keys as of \a queriedAt, the time when it was queried.
    void recordConfirmation(TimePoint queriedAt);
    /// \brief Confirmations queried before \a time do not count (EpochAge): revocations of keys may
    /// be missing in a restored store.
    void setConfirmableFrom(TimePoint time) { m_confirmableFrom = time; }
    bool isFresh(TimePoint now) const;
    /// \brief Time since the keys were last confirmed; none if they never were.
    std::optional<Duration> age(TimePoint now) const;

private:
    const Duration m_limit;
    std::optional<TimePoint> m_confirmedAt;
    TimePoint m_confirmableFrom;
};

} // namespace foxtailring
