#include "foxtailring/decisions/ClaimTable.h"

#include "ClaimBucketState.h"

#include <algorithm>

namespace foxtailring {

ClaimTable::ClaimTable(std::uint64_t incarnation, ClaimLimits limits)
    : m_incarnation(incarnation)
    , m_limits(limits)
{
}

ClaimTable::~ClaimTable() = default;

// Every event first answers what is late, so that nothing is sent after its deadline.
template <typename Change>
ClaimActions ClaimTable::change(std::uint32_t bucket, const ClaimMoment &moment, Change change)
{
    const std::lock_guard lock(m_mutex);
    ClaimActions actions;
    auto &state = m_buckets[bucket];
    if (!state)
        state = std::make_unique<ClaimBucketState>(bucket, m_incarnation, m_limits);
    state->answerLate(moment.now, actions);
    change(*state, actions);
    startDue(actions, moment);
    return actions;
}

ClaimActions ClaimTable::submit(const ClaimRequest &request, const ClaimMoment &moment)
{
    return change(request.bucket, moment, [&](ClaimBucketState &state, ClaimActions &actions) {
        std::string claim = std::to_string(m_incarnation) + '-' + std::to_string(++m_claims);
        state.submit(request, std::move(claim), moment, actions);
    });
}

ClaimActions ClaimTable::bucketLoaded(std::uint32_t bucket, std::string_view value,
                                      std::int64_t revision, const ClaimMoment &moment)
{
    return change(bucket, moment, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.loaded(value, revision, moment, actions);
    });
}

ClaimActions ClaimTable::swapSucceeded(std::uint32_t bucket, std::int64_t revision,
                                       const ClaimMoment &moment)
{
    return change(bucket, moment, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.swapSucceeded(revision, moment, actions);
    });
}

ClaimActions ClaimTable::swapConflict(std::uint32_t bucket, std::string_view value,
                                      std::int64_t revision, const ClaimMoment &moment)
{
    return bucketLoaded(bucket, value, revision, moment);
}

ClaimActions ClaimTable::swapUnknown(std::uint32_t bucket, const ClaimMoment &moment)
{
    return change(bucket, moment,
                  [](ClaimBucketState &state, ClaimActions &) { state.swapUnknown(); });
}

ClaimActions ClaimTable::platformUnavailable(std::uint32_t bucket, const ClaimMoment &moment)
{
    return change(bucket, moment, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.unavailable(moment, actions);
    });
}

ClaimActions ClaimTable::callFinished(const SendCall &call, std::uint32_t status,
                                      std::string answer, const ClaimMoment &moment)
{
    return change(call.bucket, moment, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.callEnded(call, {0, Outcome::Done, status, std::move(answer), {}, false}, actions);
    });
}

ClaimActions ClaimTable::callNotSent(const SendCall &call, std::string message,
                                     const ClaimMoment &moment)
{
    return change(call.bucket, moment, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.callEnded(call, {0, Outcome::NotRun, 0, {}, std::move(message), true}, actions);
    });
}

ClaimActions ClaimTable::callLost(const SendCall &call, std::string message,
                                  const ClaimMoment &moment)
{
    return change(call.bucket, moment, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.callEnded(call, {0, Outcome::Unknown, 0, {}, std::move(message), false}, actions);
    });
}

ClaimActions ClaimTable::tick(const ClaimMoment &moment)
{
    const std::lock_guard lock(m_mutex);
    ClaimActions actions;
    for (const auto &[bucket, state] : m_buckets)
        state->answerLate(moment.now, actions);
    startDue(actions, moment);
    return actions;
}

// At most one swap in each batch interval over all buckets, in turn, bounds the writes of a
// sidecar.
void ClaimTable::startDue(ClaimActions &actions, const ClaimMoment &moment)
{
    const auto start = m_buckets.lower_bound(m_nextBucket);
    std::vector<std::pair<std::uint32_t, ClaimBucketState *>> inTurn;
    for (const auto &[bucket, state] : m_buckets)
        inTurn.emplace_back(bucket, state.get());
    std::rotate(inTurn.begin(), inTurn.begin() + std::distance(m_buckets.begin(), start),
                inTurn.end());
    for (const auto &[bucket, state] : inTurn) {
        const auto due = state->dueAt();
        if (!due || *due > moment.now)
            continue;
        if (state->needsRead()) {
            state->startRead(actions);
        } else if (moment.now >= m_nextSwap && state->startSwap(moment, actions)) {
            m_nextSwap = moment.now + m_limits.batchInterval;
            m_nextBucket = bucket + 1;
        }
    }
}

std::optional<TimePoint> ClaimTable::nextTick() const
{
    const std::lock_guard lock(m_mutex);
    std::optional<TimePoint> next;
    const auto consider = [&next](std::optional<TimePoint> time) {
        if (time)
            next = next ? std::min(*next, *time) : *time;
    };
    for (const auto &[bucket, state] : m_buckets) {
        consider(state->nextDeadline());
        if (const auto due = state->dueAt())
            consider(state->needsRead() ? *due : std::max(*due, m_nextSwap));
    }
    return next;
}

std::size_t ClaimTable::unsettled() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto &[bucket, state] : m_buckets)
        count += state->size();
    return count;
}

} // namespace foxtailring
