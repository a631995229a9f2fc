#include "foxtailring/decisions/PollPacing.h"

#include <algorithm>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// A poll that only looks for changes is answered at once.
constexpr milliseconds minWait {1};

} // namespace

PollPacing::PollPacing(milliseconds maxWait, milliseconds batchPause)
    : m_maxWait(maxWait)
    , m_batchPause(batchPause)
{
}

// A change is seen in time for the list even if one poll is lost. While the store answers, the
// latest proof of the keys is at most 0.36 of their time old, so that they can be used for 0.6 of
// it after the store has gone.
PollPacing PollPacing::forBounds(milliseconds listNotice, milliseconds keyRevocation)
{
    return {std::min(listNotice * 56 / 100, keyRevocation * 36 / 100),
            std::min(listNotice / 2, keyRevocation * 30 / 100)};
}

// The store answers without changes only when the wait is over, so such an answer was made then or
// later. One that came sooner, or that has changes, may have been made as soon as it was asked.
TimePoint PollPacing::provedUntil(const Poll &poll, bool hasChanges, TimePoint answeredAt) const
{
    const TimePoint waitEnd = poll.askedAt + poll.wait;
    return hasChanges || answeredAt < waitEnd ? poll.askedAt : waitEnd;
}

milliseconds PollPacing::delayToNextPoll(bool hasChanges, TimePoint provedAt, TimePoint now) const
{
    if (!hasChanges)
        return milliseconds(0);
    return std::clamp(timeLeft(provedAt, now), milliseconds(0), m_batchPause);
}

// The answer comes before the last proof is too old.
milliseconds PollPacing::pollWait(TimePoint provedAt, TimePoint now) const
{
    return std::clamp(timeLeft(provedAt, now), minWait, m_maxWait);
}

milliseconds PollPacing::timeLeft(TimePoint provedAt, TimePoint now) const
{
    return std::chrono::duration_cast<milliseconds>(provedAt + m_maxWait - now);
}

} // namespace foxtailring
