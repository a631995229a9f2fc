#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <optional>

namespace foxtailring {

/// \brief Tells from when on the platform's store has again what a restore from a backup took away,
/// as far as this process knows. Not thread-safe.
///
/// The operators and the servers write what was lost again within the rewrite time. A process that
/// starts cannot know when the store was restored, so it waits for the rewrite time as one that saw
/// the restore does, unless another process is known to have done so in the same epoch.
class EpochAge
{
public:
    /// Also that of a store without epochs.
    static constexpr std::int64_t unknownEpoch = 0;

    explicit EpochAge(Duration rewriteTime)
        : m_rewriteTime(rewriteTime)
    {
    }

    /// \brief The store was read in \a epoch by \a seenAt. True if this starts a wait.
    bool recordSeen(std::int64_t epoch, TimePoint seenAt);
    /// \brief Some process has known \a epoch for the rewrite time, as was learned by \a knownAt.
    /// True if this ends a wait.
    bool recordSettled(std::int64_t epoch, TimePoint knownAt);

    /// \brief Queries sent from then on are answered from a store that is complete again.
    TimePoint settledFrom() const { return m_settledFrom; }
    /// \brief The latest epoch, if others may rely on its age being the rewrite time at least.
    std::optional<std::int64_t> settledEpoch(TimePoint now) const;

private:
    const Duration m_rewriteTime;
    std::optional<std::int64_t> m_epoch; ///< of the latest read
    TimePoint m_settledFrom;
};

} // namespace foxtailring
