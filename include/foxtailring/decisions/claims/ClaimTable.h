#pragma once

#include "foxtailring/base/StoreRevision.h"
#include "foxtailring/decisions/claims/ClaimAction.h"
#include "foxtailring/decisions/claims/ClaimLimits.h"
#include "foxtailring/decisions/claims/ClaimRequest.h"
#include "foxtailring/decisions/membership/ClockReadings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

class ClaimBucketState;

/// \brief Runs each non-idempotent call with an idempotency key at most once.
///
/// A call is claimed in the platform's key-value service before it is sent:
/// - A call is sent once, and only after its own claim is known to be stored.
/// - If the claim of another process has no outcome, the outcome of the key is Unknown.
/// - NotRun is returned only if neither this call nor an earlier one of its key was sent.
///
/// Thread-safe. The caller must perform each returned action exactly once.
class ClaimTable
{
public:
    /// \param incarnation identifies this run of the process, unique among all sidecars
    ClaimTable(std::uint64_t incarnation, ClaimLimits limits);
    ~ClaimTable();
    ClaimTable(const ClaimTable &) = delete;
    ClaimTable &operator=(const ClaimTable &) = delete;

    ClaimActions submit(const ClaimRequest &request, const ClockReadings &now);

    /// \brief \a value is empty and \a revision has number 0 if the document does not exist.
    ClaimActions onBucketLoaded(std::uint32_t bucket, std::string_view value,
                                StoreRevision revision, const ClockReadings &now);
    ClaimActions onSwapSucceeded(std::uint32_t bucket, StoreRevision revision,
                                 const ClockReadings &now);
    /// \brief The swap had no effect; \a value and \a revision are the current ones.
    ClaimActions onSwapConflict(std::uint32_t bucket, std::string_view value,
                                StoreRevision revision, const ClockReadings &now);
    /// \brief The result is unknown: the swap may have taken effect, or may do so later.
    ClaimActions onSwapUnknown(std::uint32_t bucket, const ClockReadings &now);
    /// \brief A read failed, or a swap was certainly not executed.
    ClaimActions onPlatformUnavailable(std::uint32_t bucket, const ClockReadings &now);

    /// \param answer opaque valid UTF-8, returned for later calls with the same key
    ClaimActions onCallFinished(const SendCall &call, std::uint32_t status, std::string answer,
                                const ClockReadings &now);
    /// \brief Nothing of the call was sent.
    ClaimActions onCallNotSent(const SendCall &call, std::string message, const ClockReadings &now);
    /// \brief The call may have run.
    ClaimActions onCallLost(const SendCall &call, std::string message, const ClockReadings &now);

    /// \brief Answers calls past their deadline and starts reads and swaps that are due.
    ClaimActions tick(const ClockReadings &now);

    /// \brief When to call tick() next; nothing if only another event can change the state.
    std::optional<TimePoint> nextTick() const;
    /// \brief Number of calls in progress and of outcomes that are not stored yet.
    std::size_t pendingClaims() const;

private:
    template <typename Event>
    ClaimActions handleEvent(std::uint32_t bucket, const ClockReadings &now, Event event);
    void startDue(ClaimActions &actions, const ClockReadings &now);

    const std::uint64_t m_incarnation;
    const ClaimLimits m_limits;
    mutable std::mutex m_mutex; // guards all below
    std::map<std::uint32_t, std::unique_ptr<ClaimBucketState>> m_buckets;
    std::uint32_t m_nextBucket = 0; ///< has the first turn to swap, so that no bucket starves
    TimePoint m_nextSwap;
    std::uint64_t m_lastClaimNumber = 0;
};

} // namespace foxtailring
