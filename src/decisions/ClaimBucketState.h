#pragma once

#include "ClaimEntry.h"
#include "foxtailring/decisions/ClaimAction.h"
#include "foxtailring/decisions/ClaimDocument.h"
#include "foxtailring/decisions/ClaimLimits.h"
#include "foxtailring/decisions/ClaimMoment.h"
#include "foxtailring/decisions/ClaimRequest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief The claims of one bucket at this sidecar; one read or swap is in flight. Not thread-safe.
class ClaimBucketState
{
public:
    ClaimBucketState(std::uint32_t bucket, std::uint64_t incarnation, const ClaimLimits &limits);

    /// \param claim unique to this submission
    void submit(const ClaimRequest &request, std::string claim, const ClaimMoment &moment,
                ClaimActions &actions);
    void loaded(std::string_view value, std::int64_t revision, const ClaimMoment &moment,
                ClaimActions &actions);
    void swapSucceeded(std::int64_t revision, const ClaimMoment &moment, ClaimActions &actions);
    void swapUnknown();
    void unavailable(const ClaimMoment &moment, ClaimActions &actions);
    void callEnded(const SendCall &call, AnswerCall result, ClaimActions &actions);
    /// \brief Answers those whose deadline has passed.
    void answerLate(TimePoint now, ClaimActions &actions);

    /// \brief When a read or a swap may start; nothing while one is in flight or none is needed.
    std::optional<TimePoint> dueAt() const;
    bool needsRead() const { return !m_known || m_reread; }
    void startRead(ClaimActions &actions);
    /// \brief False when nothing was left to write.
    bool startSwap(const ClaimMoment &moment, ClaimActions &actions);

    std::optional<TimePoint> nextDeadline() const;
    std::size_t size() const { return m_entries.size(); }

private:
    enum class Phase : std::uint8_t { Idle, Reading, Swapping };
    using Entries = std::map<std::string, ClaimEntry>;

    bool join(Entries::iterator entry, const ClaimRequest &request, ClaimActions &actions);
    void adopt(ClaimDocument document, std::int64_t revision, const ClaimMoment &moment,
               ClaimActions &actions);
    bool judgeWaiting(Entries::value_type &entry, bool isFresh, TimePoint now,
                      ClaimActions &actions);
    bool judgeClaim(Entries::value_type &entry, const ClaimRecord &record, bool isFresh,
                    TimePoint now, ClaimActions &actions);
    void takeClaim(Entries::value_type &entry, TimePoint now, ClaimActions &actions);
    bool isNotRunBefore(const ClaimRecord &record, const ClaimEntry &entry) const;
    bool isRecorded(const Entries::value_type &entry) const;
    void dropRecorded();
    void answerOutage(const Entries::value_type &entry, ClaimActions &actions) const;
    void recordOutcomes(ClaimDocument &document, std::int64_t unixSeconds) const;
    void addClaims(ClaimDocument &document, std::int64_t unixSeconds) const;
    void refuseWaiting(const std::string &message, ClaimActions &actions);
    bool hasWork() const;

    const std::uint32_t m_bucket;
    const std::uint64_t m_incarnation;
    const ClaimLimits &m_limits;
    Entries m_entries; ///< by key
    Phase m_phase = Phase::Idle;
    ClaimDocument m_document; ///< as last seen in the platform's service
    std::int64_t m_revision = 0;
    bool m_known = false;      ///< the document may serve as the base of a swap
    bool m_reread = false;     ///< another process may have recorded an outcome meanwhile
    bool m_unresolved = false; ///< a swap with an unknown result may still take effect
    std::optional<ClaimDocument> m_swapped; ///< written by the swap in flight
    TimePoint m_retryAt;                    ///< the platform is not asked before
};

} // namespace foxtailring
