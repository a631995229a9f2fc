#pragma once

#include "foxtailring/base/Clock.h"

#include <chrono>

namespace foxtailring {

/// \brief Schedules long polls of a store that charges per call.
///
/// Hundreds of processes follow the same keys. Each polls only as often as it must confirm its copy
/// of the keys, however many changes there are.
class PollPacing
{
public:
    /// \brief A long poll, answered at the first change, or without changes after \a wait.
    struct Poll
    {
        TimePoint sentAt;
        std::chrono::milliseconds wait {0};
    };

    /// \param maxWait maximum wait of a poll; also the maximum time between two confirmations
    /// while the store answers
    /// \param batchPause delay after changes, so that further changes are batched into one call
    PollPacing(std::chrono::milliseconds maxWait, std::chrono::milliseconds batchPause);
    /// \brief Returns the pacing for the time limits of a deployment.
    /// \param listNotice maximum time until a server's announcement that it leaves takes effect
    /// \param keyRevocation maximum time until the revocation of a key takes effect
    static PollPacing forBounds(std::chrono::milliseconds listNotice,
                                std::chrono::milliseconds keyRevocation);

    /// \brief Returns the time up to which an answer without changes to \a poll shows that there
    /// were none.
    TimePoint confirmedUntil(const Poll &poll, TimePoint answeredAt) const;
    /// \brief Returns when to send the next poll after an answer of \a answeredAt.
    /// \param confirmedAt time up to which every change was read. If it becomes known only after
    /// the answer, the next poll may wait longer.
    TimePoint nextPollAt(bool hasChanges, TimePoint confirmedAt, TimePoint answeredAt) const;
    /// \brief Returns the wait of a poll that is sent now.
    std::chrono::milliseconds pollWait(TimePoint confirmedAt, TimePoint now) const;
    /// \brief Returns how long a poll may wait for its answer to begin.
    static std::chrono::milliseconds answerTimeout(std::chrono::milliseconds wait,
                                                   std::chrono::milliseconds margin);

private:
    std::chrono::milliseconds timeLeft(TimePoint confirmedAt, TimePoint now) const;

    std::chrono::milliseconds m_maxWait;
    std::chrono::milliseconds m_batchPause;
};

} // namespace foxtailring
