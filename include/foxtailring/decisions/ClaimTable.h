#pragma once

#include "foxtailring/decisions/ClaimAction.h"
#include "foxtailring/decisions/ClaimLimits.h"
#include "foxtailring/decisions/ClaimRequest.h"
#include "foxtailring/decisions/ClockReadings.h"

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

/// \brief Runs each keyed non-idempotent call at most once, with claims in the platform's service.
///
/// Thread-safe. Every function returns actions; each is to be carried out exactly once. Rules:
/// a call is sent only after its own claim is known to be stored; it is sent once; a claim of
/// another process without an outcome is unknown; not run is said only when neither this call nor
/// an earlier one of the key was sent.
class ClaimTable
{
public:
    /// \param incarnation number of this start of the process, unique among all sidecars
    ClaimTable(std::uint64_t incarnation, ClaimLimits limits);
    ~ClaimTable();
    ClaimTable(const ClaimTable &) = delete;
    ClaimTable &operator=(const ClaimTable &) = delete;

    ClaimActions submit(const ClaimRequest &request, const ClockReadings &now);

    /// \brief \a value is empty and \a revision 0 when the document does not exist.
    ClaimActions onBucketLoaded(std::uint32_t bucket, std::string_view value, std::int64_t revision,
                                const ClockReadings &now);
    ClaimActions onSwapSucceeded(std::uint32_t bucket, std::int64_t revision,
                                 const ClockReadings &now);
    /// \brief The swap had no effect; \a value and \a revision are the present ones.
    ClaimActions onSwapConflict(std::uint32_t bucket, std::string_view value, std::int64_t revision,
                                const ClockReadings &now);
    /// \brief The swap may have taken effect, or may still do so.
    ClaimActions onSwapUnknown(std::uint32_t bucket, const ClockReadings &now);
    /// \brief A read failed, or a swap certainly had no effect.
    ClaimActions onPlatformUnavailable(std::uint32_t bucket, const ClockReadings &now);

    /// \param answer opaque valid UTF-8, returned to later calls of the key
    ClaimActions onCallFinished(const SendCall &call, std::uint32_t status, std::string answer,
                                const ClockReadings &now);
    /// \brief Nothing of the call was sent.
    ClaimActions onCallNotSent(const SendCall &call, std::string message, const ClockReadings &now);
    /// \brief The call may have run.
    ClaimActions onCallLost(const SendCall &call, std::string message, const ClockReadings &now);

    /// \brief Answers calls past their deadline and starts what is due.
    ClaimActions tick(const ClockReadings &now);

    /// \brief When tick() is due; nothing when only an event can change anything.
    std::optional<TimePoint> nextTick() const;
    /// \brief Calls in progress and outcomes that are not stored yet.
    std::size_t pendingClaims() const;

private:
    template <typename Event>
    ClaimActions handleEvent(std::uint32_t bucket, const ClockReadings &now, Event event);
    void startDue(ClaimActions &actions, const ClockReadings &now);

    const std::uint64_t m_incarnation;
    const ClaimLimits m_limits;
    mutable std::mutex m_mutex; // guards all below
    std::map<std::uint32_t, std::unique_ptr<ClaimBucketState>> m_buckets;
    std::uint32_t m_nextBucket = 0; ///< served first, so that no bucket starves
    TimePoint m_nextSwap;
    std::uint64_t m_lastClaimNumber = 0; ///< numbers the claims of this incarnation
};

} // namespace foxtailring
