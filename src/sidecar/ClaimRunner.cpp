#include "foxtailring/sidecar/ClaimRunner.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/decisions/claims/ClaimBucket.h"
#include "foxtailring/protocol/KeyHash.h"
#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/sidecar/StoredAnswer.h"
#include "foxtailring/sidecar/Tracer.h"
#include "foxtailring/sidecar/WorkTicket.h"

#include <algorithm>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

ClaimLimits limitsOf(const SidecarSettings &settings)
{
    ClaimLimits limits;
    limits.minSwapInterval = settings.claimBatch;
    limits.retentionSeconds =
        std::chrono::duration_cast<std::chrono::seconds>(settings.claimRetention).count();
    return limits;
}

// Everything that makes it the same call; headers such as the trace differ between attempts.
std::string hashOf(const Call &call)
{
    return bodyHash(call.method + '\n' + call.target + '\n' + call.body);
}

CallResult resultOf(const AnswerCall &answer)
{
    CallResult result;
    result.outcome = answer.outcome;
    result.status = answer.status;
    result.message = answer.message;
    if (answer.outcome != Outcome::Done)
        return result;
    const auto stored = answer.answer ? StoredAnswer::decode(*answer.answer) : HttpResponse {};
    if (answer.answer && stored) {
        result.headers = stored.value().headers;
        result.body = stored.value().body;
        return result;
    }
    result.message = "the call ran; its answer is no longer kept";
    result.headers = {{"foxtailring-answer", "not-kept"}};
    return result;
}

} // namespace

ClaimRunner::ClaimRunner(const SidecarContext &context, ClaimStore store,
                         std::shared_ptr<const CallForwarder> forwarder)
    : m_context(context)
    , m_store(std::move(store))
    , m_forwarder(std::move(forwarder))
    , m_table(context.incarnation, limitsOf(*context.settings))
    , m_timer(context.pool)
{
}

void ClaimRunner::run(const Call &call, std::shared_ptr<WorkTicket> work, ResultHook hook)
{
    ClaimRequest request;
    request.bucket = claimBucket(call.account, call.idempotencyKey);
    request.key = claimKey(call.account, call.idempotencyKey);
    request.requestHash = hashOf(call);
    request.mayRun = work != nullptr;
    request.deadline = m_context.clock()
        + (call.deadlineMs > 0 ? milliseconds(call.deadlineMs) : m_context.settings->callTimeout);
    {
        const std::lock_guard lock(m_mutex);
        request.callId = ++m_lastCallId;
        m_pending.emplace(request.callId, Pending {call, std::move(work), std::move(hook)});
    }
    perform(m_table.submit(request, clockReadings()));
}

void ClaimRunner::stop()
{
    const std::lock_guard lock(m_timerMutex);
    m_timer.cancel();
}

std::size_t ClaimRunner::pendingClaims() const
{
    return m_table.pendingClaims();
}

void ClaimRunner::perform(const ClaimActions &actions)
{
    for (const ClaimAction &action : actions)
        std::visit([this](const auto &one) { perform(one); }, action);
    schedule();
}

void ClaimRunner::perform(const ReadBucket &read)
{
    m_store.readBucket(
        path(read.bucket), [self = shared_from_this(), read](const Result<BucketValue> &bucket) {
            if (!bucket) {
                self->m_context.metrics->add("sidecar_claim_reads_failed_total");
                return self->perform(
                    self->m_table.onPlatformUnavailable(read.bucket, self->clockReadings()));
            }
            self->perform(self->m_table.onBucketLoaded(
                read.bucket, bucket.value().value, bucket.value().revision, self->clockReadings()));
        });
}

void ClaimRunner::perform(const SwapBucket &swap)
{
    m_context.metrics->add("sidecar_claim_swaps_total");
    m_store.swapBucket(path(swap.bucket), swap.value, swap.expectedRevision,
                       [self = shared_from_this(), swap](const Result<BucketSwap> &result) {
                           self->onSwapDone(swap, result);
                       });
}

void ClaimRunner::onSwapDone(const SwapBucket &swap, const Result<BucketSwap> &result)
{
    if (!result) {
        m_context.metrics->add("sidecar_claim_swaps_failed_total");
        return perform(isUnsent(result.error())
                           ? m_table.onPlatformUnavailable(swap.bucket, clockReadings())
                           : m_table.onSwapUnknown(swap.bucket, clockReadings()));
    }
    const BucketValue &present = result.value().present;
    if (result.value().swapped)
        return perform(m_table.onSwapSucceeded(swap.bucket, present.revision, clockReadings()));
    m_context.metrics->add("sidecar_claim_conflicts_total");
    perform(m_table.onSwapConflict(swap.bucket, present.value, present.revision, clockReadings()));
}

void ClaimRunner::perform(const SendCall &send)
{
    Call call;
    std::shared_ptr<WorkTicket> work;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_pending.find(send.callId);
        if (found != m_pending.end()) {
            call = found->second.call;
            work = found->second.work;
        }
    }
    const auto left = std::chrono::duration_cast<milliseconds>(send.deadline - m_context.clock());
    // Answered as late by another thread meanwhile.
    if (call.method.empty() || left.count() <= 0)
        return perform(m_table.onCallNotSent(send, "the deadline has passed", clockReadings()));
    const Span span = m_context.tracer->start("sidecar.call", call.traceparent);
    m_forwarder->send(
        call, left, span.context.toHeader(),
        [self = shared_from_this(), send, work, span](const Result<HttpResponse> &response) {
            self->m_context.tracer->finish(
                span, response ? "done" : errorCodeName(response.error().code));
            self->onCallDone(send, response);
        });
}

void ClaimRunner::onCallDone(const SendCall &send, const Result<HttpResponse> &response)
{
    if (response)
        return perform(
            m_table.onCallFinished(send, static_cast<std::uint32_t>(response.value().status),
                                   StoredAnswer::encode(response.value()), clockReadings()));
    const Error &error = response.error();
    perform(isUnsent(error) ? m_table.onCallNotSent(send, error.message, clockReadings())
                            : m_table.onCallLost(send, error.message, clockReadings()));
}

void ClaimRunner::perform(const AnswerCall &answer)
{
    Pending pending;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_pending.find(answer.callId);
        if (found == m_pending.end())
            return;
        pending = std::move(found->second);
        m_pending.erase(found);
    }
    CallResult result = resultOf(answer);
    result.requestId = pending.call.requestId;
    if (answer.mayRetry)
        result.retryAfterMs = static_cast<std::uint32_t>(m_context.settings->retryAfter.count());
    pending.hook(result);
}

// Under one lock, so that a later time never replaces an earlier one that was computed after it.
void ClaimRunner::schedule()
{
    const std::lock_guard lock(m_timerMutex);
    const auto due = m_table.nextTick();
    if (!due)
        return m_timer.cancel();
    const auto left = std::chrono::ceil<milliseconds>(*due - m_context.clock());
    m_timer.once(std::max(left, milliseconds(1)), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->tick();
    });
}

void ClaimRunner::tick()
{
    perform(m_table.tick(clockReadings()));
}

ClockReadings ClaimRunner::clockReadings() const
{
    return {m_context.clock(), m_context.unixSeconds()};
}

std::string ClaimRunner::path(std::uint32_t bucket) const
{
    return claimBucketPath(m_context.settings->service, bucket);
}

} // namespace foxtailring
