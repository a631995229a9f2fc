#pragma once

#include "foxtailring/base/StoreRevision.h"
#include "foxtailring/decisions/claims/ClaimAction.h"
#include "foxtailring/decisions/claims/ClaimDocument.h"
#include "foxtailring/decisions/claims/ClaimLimits.h"
#include "foxtailring/decisions/claims/ClaimRequest.h"
#include "foxtailring/decisions/membership/ClockReadings.h"
#include "PendingClaim.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief State of one bucket of claims at this sidecar.
///
/// Keeps at most one read or swap in flight. Not thread-safe.
class ClaimBucketState
{
public:
    ClaimBucketState(std::uint32_t bucket, std::uint64_t incarnation, const ClaimLimits &limits);

    /// \param claimId unique to this submission
    void submit(const ClaimRequest &request, std::string claimId, const ClockReadings &now,
                ClaimActions &actions);
    void onLoaded(std::string_view value, StoreRevision revision, const ClockReadings &now,
                  ClaimActions &actions);
    void onSwapSucceeded(StoreRevision revision, const ClockReadings &now, ClaimActions &actions);
    void onSwapUnknown();
    void onUnavailable(const ClockReadings &now, ClaimActions &actions);
    void onCallEnded(const SendCall &call, AnswerCall result, ClaimActions &actions);
    /// \brief Answers the calls whose deadline has passed.
    void answerExpired(TimePoint now, ClaimActions &actions);

    /// \brief When a read or swap may start; nothing while one is in flight or none is needed.
    std::optional<TimePoint> dueAt() const;
    bool needsRead() const { return !m_isDocumentCurrent || m_needsReread; }
    void startRead(ClaimActions &actions);
    /// \brief Starts a swap with all outcomes and claims to store. Returns false if none is left,
    /// after refusing claims for which the bucket has no room.
    bool startSwap(const ClockReadings &now, ClaimActions &actions);

    std::optional<TimePoint> nextDeadline() const;
    std::size_t size() const { return m_pending.size(); }

private:
    enum class Phase : std::uint8_t { Idle, Reading, Swapping };
    using PendingClaims = std::map<std::string, PendingClaim>;

    bool joinPending(PendingClaims::iterator found, const ClaimRequest &request,
                     ClaimActions &actions);
    void applyDocument(ClaimDocument document, StoreRevision revision, const ClockReadings &now,
                       ClaimActions &actions);
    void collectLostRecords();
    void addLostRecords(ClaimDocument &document, std::int64_t unixSeconds);
    bool resolveFromRecord(PendingClaims::value_type &keyedClaim, bool isFresh, TimePoint now,
                           ClaimActions &actions);
    bool resolveFromClaim(PendingClaims::value_type &keyedClaim, const ClaimRecord &record,
                          bool isFresh, TimePoint now, ClaimActions &actions);
    void startCall(PendingClaims::value_type &keyedClaim, TimePoint now, ClaimActions &actions);
    bool wasMarkedBeforeSubmit(const ClaimRecord &record, const PendingClaim &pending) const;
    bool isRecorded(const PendingClaims::value_type &keyedClaim) const;
    void dropRecorded();
    void answerUnavailable(const PendingClaims::value_type &keyedClaim,
                           ClaimActions &actions) const;
    void recordOutcomes(ClaimDocument &document, std::int64_t unixSeconds) const;
    void addClaims(ClaimDocument &document, std::int64_t unixSeconds) const;
    void refuseUnsent(const std::string &message, ClaimActions &actions);
    bool hasWork() const;

    const std::uint32_t m_bucket;
    const std::uint64_t m_incarnation;
    const ClaimLimits &m_limits;
    PendingClaims m_pending; ///< by key
    Phase m_phase = Phase::Idle;
    ClaimDocument m_document; ///< as last read or written, with the lost records
    std::map<std::string, ClaimRecord> m_lostRecords; ///< that a restored store no longer has
    StoreRevision m_revision;                         ///< of m_document
    bool m_isDocumentCurrent = false;                 ///< m_document may be the base of a swap
    bool m_needsReread = false;      ///< another process may have stored an outcome
    bool m_isSwapUnresolved = false; ///< a swap with an unknown result may still take effect
    std::optional<ClaimDocument> m_swapDocument; ///< written by the swap in flight
    TimePoint m_retryAt;                         ///< no read or swap starts earlier
};

} // namespace foxtailring
