#include "foxtailring/sidecar/CallService.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/protocol/Call.h"
#include "foxtailring/protocol/CallResult.h"
#include "foxtailring/sidecar/ClaimRunner.h"
#include "foxtailring/sidecar/MessageStream.h"
#include "foxtailring/sidecar/RetryAdvice.h"
#include "foxtailring/sidecar/SidecarSettings.h"
#include "foxtailring/sidecar/Tracer.h"
#include "foxtailring/sidecar/WorkGate.h"

#include <algorithm>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t maxKeyBytes = 255;
// Leaves room for the headers in a frame.
constexpr std::size_t maxBodyBytes = maxFrameBodyBytes - 256 * 1024;

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

CallResult failure(const Call &call, Outcome outcome, const std::string &message,
                   std::uint32_t retryAfterMs)
{
    CallResult result;
    result.requestId = call.requestId;
    result.outcome = outcome;
    result.message = message;
    result.retryAfterMs = retryAfterMs;
    return result;
}

CallResult resultOf(const Call &call, const Result<HttpResponse> &response,
                    std::uint32_t retryAfterMs)
{
    if (!response)
        return failure(call, isUnsent(response.error()) ? Outcome::NotRun : Outcome::Unknown,
                       response.error().message, retryAfterMs);
    CallResult result;
    result.requestId = call.requestId;
    result.outcome = Outcome::Done;
    result.status = static_cast<std::uint32_t>(response.value().status);
    result.headers = response.value().headers;
    result.body = response.value().body;
    return result;
}

std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "notRun";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

CallService::CallService(const SidecarContext &context, ClaimStore store)
    : m_context(context)
    , m_forwarder(std::make_shared<const CallForwarder>(context))
    , m_claims(store.isSet() ? std::make_shared<ClaimRunner>(context, std::move(store), m_forwarder)
                             : nullptr)
    , m_undelivered(std::make_shared<std::atomic<std::size_t>>(0))
{
}

CallService::~CallService() = default;

void CallService::open(const std::shared_ptr<Http2Stream> &stream)
{
    MessageStream::open(stream,
                        [self = shared_from_this()](const Stream &opened, const Frame &frame) {
                            opened->onFrame(nullptr);
                            self->takeCall(opened, frame);
                        });
}

void CallService::stop()
{
    if (m_claims)
        m_claims->stop();
}

std::size_t CallService::pendingCalls() const
{
    return (m_claims ? m_claims->pendingClaims() : 0) + *m_undelivered;
}

void CallService::takeCall(const Stream &stream, const Frame &frame)
{
    const auto call = decodeMessage<Call>(frame);
    if (!call)
        return answer(stream, failure({}, Outcome::NotRun, call.error().message, 0));
    if (const auto ok = check(call.value()); !ok)
        return answer(stream, failure(call.value(), Outcome::NotRun, ok.error().message, 0));
    const bool isKeyed =
        !m_forwarder->isIdempotent(call.value()) && !call.value().idempotencyKey.empty();
    if (call.value().service != m_context.settings->service)
        return refuse(stream, call.value(), isKeyed,
                      "this server serves " + m_context.settings->service);
    if (isKeyed)
        claim(stream, call.value());
    else
        forward(stream, call.value());
}

// A call that fails here can never have run under the same key.
Result<Done> CallService::check(const Call &call)
{
    if (call.method.empty() || call.target.empty())
        return Error {ErrorCode::InvalidArgument, "the call has no method or target"};
    if (call.idempotencyKey.size() > maxKeyBytes || !isPrintable(call.idempotencyKey))
        return Error {ErrorCode::InvalidArgument,
                      "an idempotency key has up to 255 printable ASCII characters"};
    return Done {};
}

void CallService::forward(const Stream &stream, const Call &call)
{
    const auto work = m_context.gate->admit();
    if (!work)
        return answer(stream,
                      failure(call, Outcome::NotRun, work.error().message,
                              retryAdviceMs(*m_context.settings, work.error().code)));
    const milliseconds timeout =
        call.deadlineMs > 0 ? milliseconds(call.deadlineMs) : m_context.settings->callTimeout;
    const Span span = m_context.tracer->start("sidecar.call", call.traceparent);
    const std::uint32_t retryAfterMs = retryAdviceMs(*m_context.settings, ErrorCode::Unavailable);
    m_forwarder->send(call, timeout, span.context.toHeader(),
                      [self = shared_from_this(), stream, call, work = work.value(), span,
                       retryAfterMs](const Result<HttpResponse> &response) {
                          self->m_context.tracer->finish(
                              span, response ? "done" : errorCodeName(response.error().code));
                          self->answer(stream, resultOf(call, response, retryAfterMs));
                      });
}

void CallService::claim(const Stream &stream, const Call &call)
{
    if (!m_claims)
        return refuse(stream, call, true, "no key-value service is configured");
    const auto work = m_context.gate->admit();
    m_claims->run(call, work ? work.value() : nullptr,
                  [self = shared_from_this(), stream](const CallResult &result) {
                      self->answer(stream, result);
                  });
}

// An earlier attempt of a key may have run, so a refusal of it cannot say "not run".
void CallService::refuse(const Stream &stream, const Call &call, bool isKeyed,
                         const std::string &message) const
{
    if (!isKeyed)
        return answer(stream, failure(call, Outcome::NotRun, message, 0));
    answer(stream,
           failure(call, Outcome::Unknown,
                   "this attempt was not run; earlier attempts are unknown: " + message,
                   static_cast<std::uint32_t>(m_context.settings->retryAfter.count())));
}

void CallService::answer(const Stream &stream, const CallResult &result) const
{
    const std::string outcome(nameOf(result.outcome));
    m_context.metrics->add("sidecar_calls_total{outcome=\"" + outcome + "\"}");
    // Closing the connection at exit would cut a result that is still being written.
    ++*m_undelivered;
    stream->onClosed([undelivered = m_undelivered] { --*undelivered; });
    if (result.body.size() <= maxBodyBytes)
        return stream->sendLast(result);
    CallResult cut = result;
    cut.body.clear();
    cut.headers = {{"foxtailring-answer", "not-kept"}};
    cut.message = "the call ran; its answer is larger than a message may be";
    stream->sendLast(cut);
}

} // namespace foxtailring
