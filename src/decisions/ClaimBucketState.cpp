#include "ClaimBucketState.h"

#include "ClaimAnswers.h"

#include <algorithm>

namespace foxtailring {

namespace {

using State = ClaimEntry::State;

const std::string neverRun = "the call was not run";

void settleNotRun(ClaimEntry &entry)
{
    entry.state = State::Settled;
    entry.outcome = Outcome::NotRun;
    entry.waiters.clear();
}

} // namespace

ClaimBucketState::ClaimBucketState(std::uint32_t bucket, std::uint64_t incarnation,
                                   const ClaimLimits &limits)
    : m_bucket(bucket)
    , m_incarnation(incarnation)
    , m_limits(limits)
{
}

void ClaimBucketState::submit(const ClaimRequest &request, std::string claim,
                              const ClaimMoment &moment, ClaimActions &actions)
{
    const auto present = m_entries.find(request.key);
    if (present != m_entries.end() && join(present, request, actions))
        return;
    ClaimEntry entry;
    entry.body = request.body;
    entry.claim = std::move(claim);
    entry.waiters = {{request.ticket, request.deadline}};
    entry.deadline = request.deadline;
    entry.submittedAt = moment.unixSeconds;
    Entries::value_type keyed {request.key, std::move(entry)};
    if (judgeWaiting(keyed, false, moment.now, actions))
        return;
    if (!request.mayRun)
        return claim_answers::send(
            request.ticket, claim_answers::notRunNow("the server takes no new calls"), actions);
    if (moment.now < m_retryAt)
        return answerOutage(keyed, actions);
    m_entries.insert_or_assign(request.key, std::move(keyed.second));
}

// True when the entry takes the request on; otherwise it is not run and may be claimed again.
bool ClaimBucketState::join(Entries::iterator entry, const ClaimRequest &request,
                            ClaimActions &actions)
{
    ClaimEntry &known = entry->second;
    if (known.body != request.body) {
        claim_answers::send(request.ticket, claim_answers::conflict(), actions);
        return true;
    }
    if (known.state == State::Settled) {
        if (known.outcome == Outcome::NotRun)
            return false;
        claim_answers::send(request.ticket, claim_answers::settled(known), actions);
        return true;
    }
    known.waiters.push_back({request.ticket, request.deadline});
    known.deadline = std::max(known.deadline, request.deadline);
    return true;
}

void ClaimBucketState::loaded(std::string_view value, std::int64_t revision,
                              const ClaimMoment &moment, ClaimActions &actions)
{
    auto document = ClaimDocument::fromJson(value);
    // A document that cannot be read is never overwritten, since it may hold claims. A revision
    // below one seen before comes from a read that is out of date.
    const bool isOld = revision != 0 && revision < m_revision;
    if (!document || isOld)
        return unavailable(moment, actions);
    adopt(std::move(document).value(), revision, moment, actions);
}

void ClaimBucketState::swapSucceeded(std::int64_t revision, const ClaimMoment &moment,
                                     ClaimActions &actions)
{
    if (m_swapped)
        adopt(std::move(*m_swapped), revision, moment, actions);
}

void ClaimBucketState::adopt(ClaimDocument document, std::int64_t revision,
                             const ClaimMoment &moment, ClaimActions &actions)
{
    m_phase = Phase::Idle;
    m_swapped.reset();
    m_document = std::move(document);
    // Swaps name the revision they replace, so a late one has no effect once it has changed.
    if (revision != m_revision)
        m_unresolved = false;
    m_revision = revision;
    m_known = true;
    m_reread = false;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto current = entry++;
        current->second.inSwap = false;
        current->second.mayBeStored = current->second.mayBeStored && m_unresolved;
        if (current->second.state == State::Waiting
            && judgeWaiting(*current, true, moment.now, actions))
            m_entries.erase(current);
    }
    dropRecorded();
}

// Compares a waiting entry with the record of its key. True when it was answered and is over.
bool ClaimBucketState::judgeWaiting(Entries::value_type &entry, bool isFresh, TimePoint now,
                                    ClaimActions &actions)
{
    const ClaimRecord *record = m_document.find(entry.first);
    if (!record)
        return false;
    const auto end = [&](const AnswerCall &call) {
        claim_answers::sendAll(entry.second, call, actions);
        return true;
    };
    if (record->body != entry.second.body)
        return end(claim_answers::conflict());
    if (!record->outcome)
        return judgeClaim(entry, *record, isFresh, now, actions);
    if (*record->outcome != Outcome::NotRun)
        return end(claim_answers::recorded(*record));
    if (isNotRunBefore(*record, entry.second))
        return false;
    // Not run would be untrue: an attempt made after that mark may be about to claim the key.
    return end(claim_answers::notRunNow("another process marked the key as not run just now"));
}

// The record is a claim without an outcome. While this process holds the entry of every call it
// sent, its own claim that no entry has sent was certainly not sent and may be replaced.
bool ClaimBucketState::judgeClaim(Entries::value_type &entry, const ClaimRecord &record,
                                  bool isFresh, TimePoint now, ClaimActions &actions)
{
    if (record.incarnation == m_incarnation) {
        if (record.claim == entry.second.claim)
            takeClaim(entry, now, actions);
        return false;
    }
    if (!isFresh) {
        m_reread = true;
        return false;
    }
    claim_answers::sendAll(
        entry.second,
        claim_answers::unknown("another process claimed the call and recorded no outcome"),
        actions);
    return true;
}

void ClaimBucketState::takeClaim(Entries::value_type &entry, TimePoint now, ClaimActions &actions)
{
    ClaimEntry &claimed = entry.second;
    if (claimed.waiters.empty() || now >= claimed.deadline)
        return settleNotRun(claimed);
    claimed.state = State::Claimed;
    actions.emplace_back(SendCall {claimed.waiters.front().ticket, m_bucket, entry.first,
                                   claimed.claim, claimed.deadline});
}

// Whether the key was marked not run before this call was submitted. Another process that marks it
// later has told its caller so, and this call, the older one, must not run after that.
bool ClaimBucketState::isNotRunBefore(const ClaimRecord &record, const ClaimEntry &entry) const
{
    return record.incarnation == m_incarnation
        || record.at + m_limits.clockSkewSeconds < entry.submittedAt;
}

void ClaimBucketState::swapUnknown()
{
    if (m_phase != Phase::Swapping)
        return;
    m_phase = Phase::Idle;
    m_swapped.reset();
    m_known = false;
    m_unresolved = true;
    for (auto &[key, entry] : m_entries) {
        entry.mayBeStored = entry.mayBeStored || entry.inSwap;
        entry.inSwap = false;
    }
}

void ClaimBucketState::unavailable(const ClaimMoment &moment, ClaimActions &actions)
{
    m_phase = Phase::Idle;
    m_swapped.reset();
    m_retryAt = moment.now + m_limits.outagePause;
    for (auto &entry : m_entries) {
        entry.second.inSwap = false;
        if (entry.second.state != State::Waiting)
            continue;
        answerOutage(entry, actions);
        settleNotRun(entry.second);
    }
    dropRecorded();
}

// An own claim that was not sent keeps every other process from claiming, unless a swap that marks
// it as not run may be under way.
void ClaimBucketState::answerOutage(const Entries::value_type &entry, ClaimActions &actions) const
{
    const ClaimRecord *record = m_document.find(entry.first);
    const bool isOwn = record && !record->outcome && record->incarnation == m_incarnation;
    if (isOwn && !m_unresolved && m_phase != Phase::Swapping)
        return claim_answers::sendAll(entry.second, claim_answers::notRun(neverRun), actions);
    claim_answers::sendAll(entry.second, claim_answers::notRunNow("the platform cannot be asked"),
                           actions);
}

void ClaimBucketState::callEnded(const SendCall &call, AnswerCall result, ClaimActions &actions)
{
    const auto found = m_entries.find(call.key);
    if (found == m_entries.end() || found->second.claim != call.claim
        || found->second.state != State::Claimed)
        return;
    ClaimEntry &entry = found->second;
    claim_answers::sendAll(entry, result, actions);
    entry.waiters.clear();
    entry.state = State::Settled;
    entry.outcome = result.outcome;
    entry.status = result.status;
    entry.answer = std::move(result.answer);
}

void ClaimBucketState::answerLate(TimePoint now, ClaimActions &actions)
{
    for (auto current = m_entries.begin(); current != m_entries.end();) {
        const auto keyed = current++;
        ClaimEntry &entry = keyed->second;
        const bool isSent = entry.state == State::Claimed;
        const auto late = std::stable_partition(
            entry.waiters.begin(), entry.waiters.end(),
            [now](const ClaimEntry::Waiter &waiter) { return waiter.deadline > now; });
        for (auto waiter = late; waiter != entry.waiters.end(); ++waiter)
            claim_answers::send(
                waiter->ticket,
                isSent ? claim_answers::unknown("the call did not end before the deadline")
                       : claim_answers::notRunNow("the claim was not stored before the deadline"),
                actions);
        entry.waiters.erase(late, entry.waiters.end());
        if (entry.state == State::Waiting && entry.waiters.empty())
            settleNotRun(entry);
    }
    dropRecorded();
}

bool ClaimBucketState::isRecorded(const Entries::value_type &keyed) const
{
    const ClaimEntry &entry = keyed.second;
    const ClaimRecord *record = m_document.find(keyed.first);
    const bool isOwn = record && record->claim == entry.claim;
    if (isOwn)
        return record->outcome == entry.outcome;
    // Nothing to mark when the claim was never stored.
    if (entry.outcome == Outcome::NotRun)
        return !entry.inSwap && !entry.mayBeStored;
    // A record of someone else appears here only after this one was removed from outside.
    return record && m_known && !m_unresolved && record->incarnation != m_incarnation;
}

void ClaimBucketState::dropRecorded()
{
    std::erase_if(m_entries, [this](const Entries::value_type &entry) {
        return entry.second.state == State::Settled && isRecorded(entry);
    });
}

bool ClaimBucketState::hasWork() const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [](const Entries::value_type &entry) {
        return entry.second.state != State::Claimed;
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

bool ClaimBucketState::startSwap(const ClaimMoment &moment, ClaimActions &actions)
{
    ClaimDocument base = m_document;
    base.expire(moment.unixSeconds - m_limits.retentionSeconds);
    recordOutcomes(base, moment.unixSeconds);
    ClaimDocument next = base;
    addClaims(next, moment.unixSeconds);
    auto value = next.fittedJson(m_limits.maxDocumentBytes);
    if (!value) {
        refuseWaiting("the bucket of claims is full", actions);
        if (!hasWork())
            return false;
        // Outcomes are stored even above the bound, which leaves room for them.
        next = std::move(base);
        value = next.fittedJson(m_limits.maxDocumentBytes).value_or(next.toJson());
    }
    for (auto &[key, entry] : m_entries)
        entry.inSwap = entry.state != State::Claimed;
    m_phase = Phase::Swapping;
    m_swapped = std::move(next);
    actions.emplace_back(SwapBucket {m_bucket, std::move(*value), m_revision});
    return true;
}

void ClaimBucketState::recordOutcomes(ClaimDocument &document, std::int64_t unixSeconds) const
{
    for (const auto &[key, entry] : m_entries) {
        if (entry.state != State::Settled)
            continue;
        ClaimRecord record {entry.body,   entry.claim, m_incarnation, entry.outcome,
                            entry.status, {},          unixSeconds};
        if (entry.answer && entry.answer->size() <= m_limits.maxAnswerBytes)
            record.answer = entry.answer;
        document.set(key, std::move(record));
    }
}

void ClaimBucketState::addClaims(ClaimDocument &document, std::int64_t unixSeconds) const
{
    for (const auto &[key, entry] : m_entries) {
        if (entry.state == State::Waiting)
            document.set(
                key, ClaimRecord {entry.body, entry.claim, m_incarnation, {}, 0, {}, unixSeconds});
    }
}

void ClaimBucketState::refuseWaiting(const std::string &message, ClaimActions &actions)
{
    for (auto &[key, entry] : m_entries) {
        if (entry.state != State::Waiting)
            continue;
        claim_answers::sendAll(entry, claim_answers::notRunNow(message), actions);
        settleNotRun(entry);
    }
    dropRecorded();
}

std::optional<TimePoint> ClaimBucketState::nextDeadline() const
{
    std::optional<TimePoint> next;
    for (const auto &[key, entry] : m_entries) {
        for (const ClaimEntry::Waiter &waiter : entry.waiters)
            next = next ? std::min(*next, waiter.deadline) : waiter.deadline;
    }
    return next;
}

} // namespace foxtailring
