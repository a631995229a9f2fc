#include "foxtailring/decisions/membership/PollPacing.h"

#include <algorithm>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// The store answers such a poll almost at once.
constexpr milliseconds minWait {1};
// After changes that are not proved yet. Without it, changes in series would be asked for one by
// one while the newest revision is on its way.
constexpr milliseconds minPause {50};

} // namespace

PollPacing::PollPacing(milliseconds maxWait, milliseconds batchPause)
    : m_maxWait(maxWait)
    , m_batchPause(batchPause)
{
}

// A change of the server list is seen within listNotice even if one poll is lost. While the store
// answers, the latest confirmation of the keys is at most 0.36 of keyRevocation old, so the keys
// can be used for another 0.6 of it after the store becomes unreachable.
PollPacing PollPacing::forBounds(milliseconds listNotice, milliseconds keyRevocation)
{
    return {std::min(listNotice * 56 / 100, keyRevocation * 36 / 100),
            std::min(listNotice / 2, keyRevocation * 30 / 100)};
}

// An answer without changes was created at the end of the wait or later. An earlier one may have
// been created as soon as the poll arrived.
TimePoint PollPacing::confirmedUntil(const Poll &poll, TimePoint answeredAt) const
{
    const TimePoint waitEnd = poll.sentAt + poll.wait;
    return answeredAt < waitEnd ? poll.sentAt : waitEnd;
}

milliseconds PollPacing::delayToNextPoll(bool hasChanges, TimePoint confirmedAt,
                                         TimePoint now) const
{
    if (!hasChanges)
        return milliseconds(0);
    return std::clamp(timeLeft(confirmedAt, now), std::min(minPause, m_batchPause), m_batchPause);
}

// The answer must arrive before the last confirmation is too old.
milliseconds PollPacing::pollWait(TimePoint confirmedAt, TimePoint now) const
{
    return std::clamp(timeLeft(confirmedAt, now), minWait, m_maxWait);
}

milliseconds PollPacing::timeLeft(TimePoint confirmedAt, TimePoint now) const
{
    return std::chrono::duration_cast<milliseconds>(confirmedAt + m_maxWait - now);
}

} // namespace foxtailring
