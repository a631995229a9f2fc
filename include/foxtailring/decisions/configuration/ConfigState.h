#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/configuration/ConfigSnapshot.h"
#include "foxtailring/protocol/ConfigUpdate.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace foxtailring {

/// \brief The current configuration of one node. Its revision never decreases in one epoch of the
/// store.
///
/// Thread-safe. Its lock is the first in the lock order.
class ConfigState
{
public:
    ConfigState();

    /// \brief Applies an update.
    ///
    /// An update that ends at or below the current revision, or is of an epoch that has ended,
    /// succeeds without effect. Stale when it starts above the current revision, or in another
    /// epoch: the node then needs a full update.
    Result<Done> apply(const ConfigUpdate &update);

    std::shared_ptr<const ConfigSnapshot> snapshot() const;
    std::int64_t revision() const;

    /// \brief Returns the update that brings a node from \a baseRevision of epoch \a baseEpoch to
    /// the current revision.
    ///
    /// It is a full update with every resource when \a baseRevision is 0, of another epoch, or
    /// older than the oldest retained delta.
    ConfigUpdate updateSince(std::int64_t baseRevision, std::int64_t baseEpoch) const;

private:
    bool isOutOfDate(const ConfigUpdate &update) const;
    void recordEarlierEpochs(const ConfigUpdate &update);
    void recordUpdate(const ConfigUpdate &update);

    mutable std::mutex m_mutex;
    std::shared_ptr<const ConfigSnapshot> m_snapshot;
    std::vector<ConfigUpdate> m_recentUpdates; ///< the latest deltas, oldest first, contiguous
    std::vector<std::int64_t> m_earlierEpochs; ///< that have ended
};

} // namespace foxtailring
