#pragma once

#include "foxtailring/base/Clock.h"

#include <chrono>

namespace foxtailring {

/// \brief When a process polls a store that is paid by the call, and what an answer proves.
///
/// Answers the load of hundreds of processes that follow the same keys: each polls as often as its
/// keys need a proof, however many changes there are.
class PollPacing
{
public:
    /// \brief One poll: it is answered at the first change, or without any after \a pollWait.
    struct Poll
    {
        TimePoint askedAt;
        std::chrono::milliseconds wait {0};
    };

    /// \param maxWait longest wait of a poll, and greatest age of a proof while the store
    /// answers
    /// \param batchPause pause after changes, so that those that follow soon take no call of their
    /// own
    PollPacing(std::chrono::milliseconds maxWait, std::chrono::milliseconds batchPause);
    /// \brief Pacing that keeps the bounds of a deployment.
    /// \param listNotice time from a server's word that it leaves to its effect
    /// \param keyRevocation time from a key's withdrawal to its effect
    static PollPacing forBounds(std::chrono::milliseconds listNotice,
                                std::chrono::milliseconds keyRevocation);

    /// \brief The moment up to which the answer to \a poll holds every change.
    TimePoint provedUntil(const Poll &poll, bool hasChanges, TimePoint answeredAt) const;
    /// \brief Time from an answer, which proves the state at \a provedAt, to the next poll.
    std::chrono::milliseconds delayToNextPoll(bool hasChanges, TimePoint provedAt,
                                              TimePoint now) const;
    /// \brief Wait of a poll that is sent now.
    std::chrono::milliseconds pollWait(TimePoint provedAt, TimePoint now) const;

private:
    std::chrono::milliseconds timeLeft(TimePoint provedAt, TimePoint now) const;

    std::chrono::milliseconds m_maxWait;
    std::chrono::milliseconds m_batchPause;
};

} // namespace foxtailring
