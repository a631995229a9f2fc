#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/rollouts/VersionVerdict.h"
#include "foxtailring/decisions/rollouts/VersionWitness.h"

#include <deque>
#include <map>
#include <vector>

namespace foxtailring {

/// \brief Compares the versions of a service by the merged witnesses of all gateways, since the
/// order and in the last seconds.
///
/// A version may turn bad only later, on one route only, or under load, so routes are judged one by
/// one, and the last seconds for themselves. Answers of the same seconds are compared, since an
/// overload or a lost zone hits all versions. Not thread-safe.
class VersionEvidence
{
public:
    using Rows = std::map<VersionRowKey, VersionRow>;

    /// \brief Forgets everything, for another order.
    void reset();
    /// \brief Replaces the merged rows.
    void update(Rows merged, TimePoint now);
    VersionVerdict judge() const;

private:
    Rows m_rows;
    Rows m_slotStart;         ///< rows when the latest slot began
    TimePoint m_slotStartsAt; ///< of the latest slot
    std::deque<Rows> m_slots; ///< rows of the earlier slots, each of some seconds
};

} // namespace foxtailring
