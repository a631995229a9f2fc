#include "ClaimBucketState.h"

#include "ClaimAnswers.h"

#include <algorithm>

namespace foxtailring {

namespace {

using State = PendingClaim::State;

const std::string callNotRunMessage = "the call was not run";

void settleNotRun(PendingClaim &pending)
{
    pending.state = State::Settled;
    pending.outcome = Outcome::NotRun;
    pending.waiters.clear();
}

} // namespace

ClaimBucketState::ClaimBucketState(std::uint32_t bucket, std::uint64_t incarnation,
                                   const ClaimLimits &limits)
    : m_bucket(bucket)
    , m_incarnation(incarnation)
    , m_limits(limits)
{
}

void ClaimBucketState::submit(const ClaimRequest &request, std::string claimId,
                              const ClockReadings &now, ClaimActions &actions)
{
    const auto present = m_pending.find(request.key);
    if (present != m_pending.end() && joinPending(present, request, actions))
        return;
    PendingClaim pending;
    pending.requestHash = request.requestHash;
    pending.claimId = std::move(claimId);
    pending.waiters = {{request.callId, request.deadline}};
    pending.deadline = request.deadline;
    pending.submittedAt = now.unixSeconds;
    PendingClaims::value_type keyedClaim {request.key, std::move(pending)};
    if (resolveFromRecord(keyedClaim, false, now.monotonic, actions))
        return;
    if (!request.mayRun)
        return claim_answers::answer(
            request.callId, claim_answers::attemptNotRun("the server accepts no new calls"),
            actions);
    if (now.monotonic < m_retryAt)
        return answerUnavailable(keyedClaim, actions);
    m_pending.insert_or_assign(request.key, std::move(keyedClaim.second));
}

// Returns false if the earlier calls of the key were not run, so that it may be claimed again.
bool ClaimBucketState::joinPending(PendingClaims::iterator found, const ClaimRequest &request,
                                   ClaimActions &actions)
{
    PendingClaim &known = found->second;
    if (known.requestHash != request.requestHash) {
        claim_answers::answer(request.callId, claim_answers::conflict(), actions);
        return true;
    }
    if (known.state == State::Settled) {
        if (known.outcome == Outcome::NotRun)
            return false;
        claim_answers::answer(request.callId, claim_answers::fromSettled(known), actions);
        return true;
    }
    known.waiters.push_back({request.callId, request.deadline});
    known.deadline = std::max(known.deadline, request.deadline);
    return true;
}

void ClaimBucketState::onLoaded(std::string_view value, StoreRevision revision,
                                const ClockReadings &now, ClaimActions &actions)
{
    auto document = ClaimDocument::fromJson(value);
    // A document that cannot be parsed is never overwritten, since it may hold claims. A revision
    // lower than the known one comes from a stale read, unless the store was restored since.
    const bool isOutOfDate = revision.epoch == m_revision.epoch && revision.number != 0
        && revision.number < m_revision.number;
    if (!document || isOutOfDate)
        return onUnavailable(now, actions);
    applyDocument(std::move(document).value(), revision, now, actions);
}

void ClaimBucketState::onSwapSucceeded(StoreRevision revision, const ClockReadings &now,
                                       ClaimActions &actions)
{
    if (m_swapDocument)
        applyDocument(std::move(*m_swapDocument), revision, now, actions);
}

void ClaimBucketState::applyDocument(ClaimDocument document, StoreRevision revision,
                                     const ClockReadings &now, ClaimActions &actions)
{
    m_phase = Phase::Idle;
    m_swapDocument.reset();
    if (revision.epoch != m_revision.epoch)
        collectLostRecords();
    addLostRecords(document, now.unixSeconds);
    m_document = std::move(document);
    // A delayed swap has no effect once the revision that it expects has changed.
    if (revision != m_revision)
        m_isSwapUnresolved = false;
    m_revision = revision;
    m_isDocumentCurrent = true;
    m_needsReread = false;
    for (auto next = m_pending.begin(); next != m_pending.end();) {
        const auto current = next++;
        current->second.isInSwap = false;
        current->second.mayBeStored = current->second.mayBeStored && m_isSwapUnresolved;
        if (current->second.state == State::Claiming
            && resolveFromRecord(*current, true, now.monotonic, actions))
            m_pending.erase(current);
    }
    dropRecorded();
}

// A store that was restored from a backup has lost the latest claims. They are stored again, so
// that their calls do not run a second time.
void ClaimBucketState::collectLostRecords()
{
    for (const auto &[key, record] : m_document.claims())
        m_lostRecords.insert_or_assign(key, record);
}

// A claim that was made after the restore is the later one.
void ClaimBucketState::addLostRecords(ClaimDocument &document, std::int64_t unixSeconds)
{
    std::erase_if(m_lostRecords, [&](const auto &entry) {
        const ClaimRecord &lost = entry.second;
        if (lost.updatedUnixSeconds <= unixSeconds - m_limits.retentionSeconds)
            return true;
        const ClaimRecord *stored = document.find(entry.first);
        if (!stored)
            return false;
        if (stored->claimId == lost.claimId)
            return stored->outcome || !lost.outcome;
        return stored->updatedUnixSeconds >= lost.updatedUnixSeconds;
    });
    for (const auto &[key, record] : m_lostRecords)
        document.set(key, record);
}

// Compares a claim that is not known to be stored with the record of its key. Returns true if its
// calls were answered, so that it can be dropped. isFresh: the document was just read or written.
bool ClaimBucketState::resolveFromRecord(PendingClaims::value_type &keyedClaim, bool isFresh,
                                         TimePoint now, ClaimActions &actions)
{
    const ClaimRecord *record = m_document.find(keyedClaim.first);
    if (!record)
        return false;
    const auto end = [&](const AnswerCall &call) {
        claim_answers::answerAll(keyedClaim.second, call, actions);
        return true;
    };
    if (record->requestHash != keyedClaim.second.requestHash)
        return end(claim_answers::conflict());
    if (!record->outcome)
        return resolveFromClaim(keyedClaim, *record, isFresh, now, actions);
    if (*record->outcome != Outcome::NotRun)
        return end(claim_answers::fromRecord(*record));
    if (wasMarkedBeforeSubmit(*record, keyedClaim.second))
        return false;
    // NotRun could become untrue: a call submitted after that record may be about to claim the key.
    return end(
        claim_answers::attemptNotRun("another process has just recorded the key as not run"));
}

// The record is a claim without an outcome. Calls that this process sent stay in m_pending until
// their outcome is stored, so any other claim of its own was certainly not sent and may be
// replaced.
bool ClaimBucketState::resolveFromClaim(PendingClaims::value_type &keyedClaim,
                                        const ClaimRecord &record, bool isFresh, TimePoint now,
                                        ClaimActions &actions)
{
    if (record.incarnation == m_incarnation) {
        if (record.claimId == keyedClaim.second.claimId)
            startCall(keyedClaim, now, actions);
        return false;
    }
    if (!isFresh) {
        m_needsReread = true;
        return false;
    }
    claim_answers::answerAll(
        keyedClaim.second,
        claim_answers::unknown("another process claimed the call and recorded no outcome"),
        actions);
    return true;
}

void ClaimBucketState::startCall(PendingClaims::value_type &keyedClaim, TimePoint now,
                                 ClaimActions &actions)
{
    PendingClaim &pending = keyedClaim.second;
    if (pending.waiters.empty() || now >= pending.deadline)
        return settleNotRun(pending);
    pending.state = State::Sent;
    actions.emplace_back(SendCall {pending.waiters.front().callId, m_bucket, keyedClaim.first,
                                   pending.claimId, pending.deadline});
}

// Returns true if the key was recorded as not run before this call was submitted. If another
// process recorded it later, it has told its caller so, and this older call must not run any more.
bool ClaimBucketState::wasMarkedBeforeSubmit(const ClaimRecord &record,
                                             const PendingClaim &pending) const
{
    return record.incarnation == m_incarnation
        || record.updatedUnixSeconds + m_limits.maxClockSkewSeconds < pending.submittedAt;
}

void ClaimBucketState::onSwapUnknown()
{
    if (m_phase != Phase::Swapping)
        return;
    m_phase = Phase::Idle;
    m_swapDocument.reset();
    m_isDocumentCurrent = false;
    m_isSwapUnresolved = true;
    for (auto &[key, pending] : m_pending) {
        pending.mayBeStored = pending.mayBeStored || pending.isInSwap;
        pending.isInSwap = false;
    }
}

void ClaimBucketState::onUnavailable(const ClockReadings &now, ClaimActions &actions)
{
    m_phase = Phase::Idle;
    m_swapDocument.reset();
    m_retryAt = now.monotonic + m_limits.outageRetryDelay;
    for (auto &keyedClaim : m_pending) {
        keyedClaim.second.isInSwap = false;
        if (keyedClaim.second.state != State::Claiming)
            continue;
        answerUnavailable(keyedClaim, actions);
        settleNotRun(keyedClaim.second);
    }
    dropRecorded();
}

// A stored claim of this process whose call was not sent keeps other processes from claiming the
// key, unless a swap that records it as not run may have taken effect.
void ClaimBucketState::answerUnavailable(const PendingClaims::value_type &keyedClaim,
                                         ClaimActions &actions) const
{
    const ClaimRecord *record = m_document.find(keyedClaim.first);
    const bool isOwn = record && !record->outcome && record->incarnation == m_incarnation;
    if (isOwn && !m_isSwapUnresolved && m_phase != Phase::Swapping)
        return claim_answers::answerAll(keyedClaim.second, claim_answers::notRun(callNotRunMessage),
                                        actions);
    claim_answers::answerAll(keyedClaim.second,
                             claim_answers::attemptNotRun("the platform is unavailable"), actions);
}

void ClaimBucketState::onCallEnded(const SendCall &call, AnswerCall result, ClaimActions &actions)
{
    const auto found = m_pending.find(call.key);
    if (found == m_pending.end() || found->second.claimId != call.claimId
        || found->second.state != State::Sent)
        return;
    PendingClaim &pending = found->second;
    claim_answers::answerAll(pending, result, actions);
    pending.waiters.clear();
    pending.state = State::Settled;
    pending.outcome = result.outcome;
    pending.status = result.status;
    pending.answer = std::move(result.answer);
}

void ClaimBucketState::answerExpired(TimePoint now, ClaimActions &actions)
{
    for (auto current = m_pending.begin(); current != m_pending.end();) {
        const auto keyedClaim = current++;
        PendingClaim &pending = keyedClaim->second;
        const bool isSent = pending.state == State::Sent;
        const auto late = std::stable_partition(
            pending.waiters.begin(), pending.waiters.end(),
            [now](const PendingClaim::Waiter &waiter) { return waiter.deadline > now; });
        for (auto waiter = late; waiter != pending.waiters.end(); ++waiter)
            claim_answers::answer(
                waiter->callId,
                isSent
                    ? claim_answers::unknown("the call did not end before the deadline")
                    : claim_answers::attemptNotRun("the claim was not stored before the deadline"),
                actions);
        pending.waiters.erase(late, pending.waiters.end());
        if (pending.state == State::Claiming && pending.waiters.empty())
            settleNotRun(pending);
    }
    dropRecorded();
}

bool ClaimBucketState::isRecorded(const PendingClaims::value_type &keyedClaim) const
{
    const PendingClaim &pending = keyedClaim.second;
    const ClaimRecord *record = m_document.find(keyedClaim.first);
    const bool isOwn = record && record->claimId == pending.claimId;
    if (isOwn)
        return record->outcome == pending.outcome;
    // If the claim was never stored, there is nothing to record.
    if (pending.outcome == Outcome::NotRun)
        return !pending.isInSwap && !pending.mayBeStored;
    // A claim of another process can be here only if this one was removed by other means.
    return record && m_isDocumentCurrent && !m_isSwapUnresolved
        && record->incarnation != m_incarnation;
}

void ClaimBucketState::dropRecorded()
{
    std::erase_if(m_pending, [this](const PendingClaims::value_type &keyedClaim) {
        return keyedClaim.second.state == State::Settled && isRecorded(keyedClaim);
    });
}

bool ClaimBucketState::hasWork() const
{
    return !m_lostRecords.empty()
        || std::any_of(m_pending.begin(), m_pending.end(),
                       [](const PendingClaims::value_type &keyedClaim) {
                           return keyedClaim.second.state != State::Sent;
                       });
}

std::optional<TimePoint> ClaimBucketState::dueAt() const
{
    if (m_phase != Phase::Idle || !hasWork())
        return std::nullopt;
    return m_retryAt;
}

void ClaimBucketState::startRead(ClaimActions &actions)
{
    m_phase = Phase::Reading;
    actions.emplace_back(ReadBucket {m_bucket});
}

bool ClaimBucketState::startSwap(const ClockReadings &now, ClaimActions &actions)
{
    ClaimDocument base = m_document;
    base.expire(now.unixSeconds - m_limits.retentionSeconds);
    recordOutcomes(base, now.unixSeconds);
    ClaimDocument next = base;
    addClaims(next, now.unixSeconds);
    auto value = next.shrinkToJson(m_limits.maxDocumentBytes);
    if (!value) {
        refuseUnsent("the bucket of claims is full", actions);
        if (!hasWork())
            return false;
        // Outcomes are stored even above maxDocumentBytes, which leaves room for them.
        next = std::move(base);
        value = next.shrinkToJson(m_limits.maxDocumentBytes).value_or(next.toJson());
    }
    for (auto &[key, pending] : m_pending)
        pending.isInSwap = pending.state != State::Sent;
    m_phase = Phase::Swapping;
    m_swapDocument = std::move(next);
    actions.emplace_back(SwapBucket {m_bucket, std::move(*value), m_revision});
    return true;
}

void ClaimBucketState::recordOutcomes(ClaimDocument &document, std::int64_t unixSeconds) const
{
    for (const auto &[key, pending] : m_pending) {
        if (pending.state != State::Settled)
            continue;
        ClaimRecord record {pending.requestHash, pending.claimId, m_incarnation,
                            pending.outcome,     pending.status,  {},
                            unixSeconds};
        if (pending.answer && pending.answer->size() <= m_limits.maxAnswerBytes)
            record.answer = pending.answer;
        document.set(key, std::move(record));
    }
}

void ClaimBucketState::addClaims(ClaimDocument &document, std::int64_t unixSeconds) const
{
    for (const auto &[key, pending] : m_pending) {
        if (pending.state == State::Claiming)
            document.set(
                key,
                ClaimRecord {
                    pending.requestHash, pending.claimId, m_incarnation, {}, 0, {}, unixSeconds});
    }
}

void ClaimBucketState::refuseUnsent(const std::string &message, ClaimActions &actions)
{
    for (auto &[key, pending] : m_pending) {
        if (pending.state != State::Claiming)
            continue;
        claim_answers::answerAll(pending, claim_answers::attemptNotRun(message), actions);
        settleNotRun(pending);
    }
    dropRecorded();
}

std::optional<TimePoint> ClaimBucketState::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const auto &[key, pending] : m_pending) {
        for (const PendingClaim::Waiter &waiter : pending.waiters)
            next = next ? std::min(*next, waiter.deadline) : waiter.deadline;
    }
    return next;
}

} // namespace foxtailring
