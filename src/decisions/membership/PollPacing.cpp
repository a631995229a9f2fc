#include "foxtailring/decisions/membership/PollPacing.h"

#include <algorithm>

namespace foxtailring {

using std::chrono::milliseconds;

namespace {

// The store answers such a poll almost at once.
constexpr milliseconds minWait {1};
// After changes that are not proved yet. Without it, changes in series would be asked for one by
// one while the newest revision is on its way.
constexpr milliseconds minPause {30};
// A store that is slow for a moment does not need to be asked again.
constexpr milliseconds minAnswerTime {150};
// Until a poll that is not answered has timed out and another one was answered.
constexpr milliseconds lostPollTime {1000};

} // namespace

PollPacing::PollPacing(milliseconds maxWait, milliseconds batchPause)
    : m_maxWait(maxWait)
    , m_batchPause(batchPause)
{
}

// A change of the server list is seen within listNotice even if one poll is lost. While the store
// answers, the latest confirmation of the keys is at most 0.37 of keyRevocation old, so the keys
// can be used for another 0.6 of it after the store becomes unreachable.
//
// Changes are collected for as long: a fleet that writes all the time takes no more polls than one
// that is quiet.
PollPacing PollPacing::forBounds(milliseconds listNotice, milliseconds keyRevocation)
{
    const milliseconds maxWait = std::min(
        std::max(listNotice - lostPollTime, listNotice * 56 / 100), keyRevocation * 37 / 100);
    return {maxWait, maxWait};
}

// An answer without changes was created at the end of the wait or later. An earlier one may have
// been created as soon as the poll arrived.
TimePoint PollPacing::confirmedUntil(const Poll &poll, TimePoint answeredAt) const
{
    const TimePoint waitEnd = poll.sentAt + poll.wait;
    return answeredAt < waitEnd ? poll.sentAt : waitEnd;
}

TimePoint PollPacing::nextPollAt(bool hasChanges, TimePoint confirmedAt, TimePoint answeredAt) const
{
    if (!hasChanges)
        return answeredAt;
    return answeredAt
        + std::clamp(timeLeft(confirmedAt, answeredAt), std::min(minPause, m_batchPause),
                     m_batchPause);
}

// The answer must arrive before the last confirmation is too old.
milliseconds PollPacing::pollWait(TimePoint confirmedAt, TimePoint now) const
{
    return std::clamp(timeLeft(confirmedAt, now), minWait, m_maxWait);
}

milliseconds PollPacing::answerTimeout(milliseconds wait, milliseconds margin)
{
    return std::max(wait, minAnswerTime) + margin;
}

milliseconds PollPacing::timeLeft(TimePoint confirmedAt, TimePoint now) const
{
    return std::chrono::duration_cast<milliseconds>(confirmedAt + m_maxWait - now);
}

} // namespace foxtailring
