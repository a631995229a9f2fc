#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/ConfigSnapshot.h"
#include "foxtailring/protocol/ConfigUpdate.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace foxtailring {

/// \brief The configuration in force at one node; its revision never decreases.
///
/// Thread-safe. Its lock is the first one of the lock order.
class ConfigState
{
public:
    ConfigState();

    /// \brief Puts an update in force.
    ///
    /// An update that ends at or below the present revision changes nothing and is ok. Stale when
    /// the update starts above the present revision: the node then needs a full update.
    Result<Done> apply(const ConfigUpdate &update);

    std::shared_ptr<const ConfigSnapshot> snapshot() const;
    std::int64_t revision() const;

    /// \brief The update that brings a node from \a baseRevision to the present revision.
    ///
    /// Holds every resource when \a baseRevision is 0 or below the oldest change that is
    /// remembered.
    ConfigUpdate updateSince(std::int64_t baseRevision) const;

private:
    void recordUpdate(const ConfigUpdate &update);

    mutable std::mutex m_mutex;
    std::shared_ptr<const ConfigSnapshot> m_snapshot;
    std::vector<ConfigUpdate> m_recentUpdates; ///< the latest deltas, oldest first, without gaps
};

} // namespace foxtailring
