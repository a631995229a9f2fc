#include "foxtailring/decisions/claims/ClaimTable.h"

#include "ClaimBucketState.h"

#include <algorithm>

namespace foxtailring {

ClaimTable::ClaimTable(std::uint64_t incarnation, ClaimLimits limits)
    : m_incarnation(incarnation)
    , m_limits(limits)
{
}

ClaimTable::~ClaimTable() = default;

// Answers calls past their deadline before the event, so that none is sent after its deadline.
template <typename Event>
ClaimActions ClaimTable::handleEvent(std::uint32_t bucket, const ClockReadings &now, Event event)
{
    const std::lock_guard lock(m_mutex);
    ClaimActions actions;
    auto &state = m_buckets[bucket];
    if (!state)
        state = std::make_unique<ClaimBucketState>(bucket, m_incarnation, m_limits);
    state->answerExpired(now.monotonic, actions);
    event(*state, actions);
    startDue(actions, now);
    return actions;
}

ClaimActions ClaimTable::submit(const ClaimRequest &request, const ClockReadings &now)
{
    return handleEvent(request.bucket, now, [&](ClaimBucketState &state, ClaimActions &actions) {
        std::string claimId =
            std::to_string(m_incarnation) + '-' + std::to_string(++m_lastClaimNumber);
        state.submit(request, std::move(claimId), now, actions);
    });
}

ClaimActions ClaimTable::onBucketLoaded(std::uint32_t bucket, std::string_view value,
                                        StoreRevision revision, const ClockReadings &now)
{
    return handleEvent(bucket, now, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.onLoaded(value, revision, now, actions);
    });
}

ClaimActions ClaimTable::onSwapSucceeded(std::uint32_t bucket, StoreRevision revision,
                                         const ClockReadings &now)
{
    return handleEvent(bucket, now, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.onSwapSucceeded(revision, now, actions);
    });
}

ClaimActions ClaimTable::onSwapConflict(std::uint32_t bucket, std::string_view value,
                                        StoreRevision revision, const ClockReadings &now)
{
    return onBucketLoaded(bucket, value, revision, now);
}

ClaimActions ClaimTable::onSwapUnknown(std::uint32_t bucket, const ClockReadings &now)
{
    return handleEvent(bucket, now,
                       [](ClaimBucketState &state, ClaimActions &) { state.onSwapUnknown(); });
}

ClaimActions ClaimTable::onPlatformUnavailable(std::uint32_t bucket, const ClockReadings &now)
{
    return handleEvent(bucket, now, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.onUnavailable(now, actions);
    });
}

ClaimActions ClaimTable::onCallFinished(const SendCall &call, std::uint32_t status,
                                        std::string answer, const ClockReadings &now)
{
    return handleEvent(call.bucket, now, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.onCallEnded(call, {0, Outcome::Done, status, std::move(answer), {}, false}, actions);
    });
}

ClaimActions ClaimTable::onCallNotSent(const SendCall &call, std::string message,
                                       const ClockReadings &now)
{
    return handleEvent(call.bucket, now, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.onCallEnded(call, {0, Outcome::NotRun, 0, {}, std::move(message), true}, actions);
    });
}

ClaimActions ClaimTable::onCallLost(const SendCall &call, std::string message,
                                    const ClockReadings &now)
{
    return handleEvent(call.bucket, now, [&](ClaimBucketState &state, ClaimActions &actions) {
        state.onCallEnded(call, {0, Outcome::Unknown, 0, {}, std::move(message), false}, actions);
    });
}

ClaimActions ClaimTable::tick(const ClockReadings &now)
{
    const std::lock_guard lock(m_mutex);
    ClaimActions actions;
    for (const auto &[bucket, state] : m_buckets)
        state->answerExpired(now.monotonic, actions);
    startDue(actions, now);
    return actions;
}

// Starts at most one swap per minSwapInterval, round-robin over the buckets, to bound the write
// rate of a sidecar.
void ClaimTable::startDue(ClaimActions &actions, const ClockReadings &now)
{
    const auto start = m_buckets.lower_bound(m_nextBucket);
    std::vector<std::pair<std::uint32_t, ClaimBucketState *>> inTurn;
    for (const auto &[bucket, state] : m_buckets)
        inTurn.emplace_back(bucket, state.get());
    std::rotate(inTurn.begin(), inTurn.begin() + std::distance(m_buckets.begin(), start),
                inTurn.end());
    for (const auto &[bucket, state] : inTurn) {
        const auto due = state->dueAt();
        if (!due || *due > now.monotonic)
            continue;
        if (state->needsRead()) {
            state->startRead(actions);
        } else if (now.monotonic >= m_nextSwap && state->startSwap(now, actions)) {
            m_nextSwap = now.monotonic + m_limits.minSwapInterval;
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

std::size_t ClaimTable::pendingClaims() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto &[bucket, state] : m_buckets)
        count += state->size();
    return count;
}

} // namespace foxtailring
