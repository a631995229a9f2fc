#include "CallRunner.h"

#include "foxtailring/entry/Problem.h"
#include "foxtailring/protocol/Frame.h"
#include "foxtailring/transport/Http1Responder.h"
#include "foxtailring/transport/Http2Stream.h"

#include "AdmissionPass.h"
#include "EntryParts.h"
#include "FrameHooks.h"
#include "HeaderFilter.h"
#include "KeyOwner.h"
#include "ServerChoice.h"
#include "SidecarLink.h"
#include "SidecarPaths.h"

#include <algorithm>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tickInterval {100};
// A sidecar's result for a key that was used with another request.
constexpr std::uint32_t statusConflict = 409;

CallResult failure(Outcome outcome, std::string message)
{
    CallResult out;
    out.outcome = outcome;
    out.message = std::move(message);
    return out;
}

} // namespace

CallRunner::CallRunner(EntryParts &parts, CallJob job, std::shared_ptr<Http1Responder> responder,
                       std::string traceparent)
    : m_parts(parts)
    , m_job(std::move(job))
    , m_responder(std::move(responder))
    , m_traceparent(std::move(traceparent))
    , m_queue(parts.pool)
    , m_timer(parts.pool)
{
    m_failure = failure(Outcome::NotRun, "no server was asked");
}

CallRunner::~CallRunner() = default;

void CallRunner::start(std::shared_ptr<AdmissionPass> pass)
{
    m_parts.calls.add(shared_from_this());
    const std::weak_ptr<CallRunner> weak = weak_from_this();
    m_responder->onDisconnect([weak] {
        if (const auto self = weak.lock())
            self->m_queue.post([self] { self->callerGone(); });
    });
    // Keeps this alive until end() cancels it.
    m_timer.every(tickInterval,
                  [self = shared_from_this()] { self->m_queue.post([self] { self->tick(); }); });
    m_queue.post([self = shared_from_this(), pass = std::move(pass)]() mutable {
        self->m_pass = std::move(pass);
        self->callNext();
    });
}

void CallRunner::callNext()
{
    if (chooseServer())
        callServer();
    else
        fail();
}

bool CallRunner::chooseServer()
{
    if (m_job.isKeyed()) {
        for (const ServerState &server : KeyOwner::rank(
                 m_parts, m_job.call.service, m_job.call.account, m_job.call.idempotencyKey)) {
            if (m_tried.contains(server.info->address))
                continue;
            m_address = server.info->address;
            m_serverId = server.info->id;
            m_serverLeaves = server.status == ServerStatus::Leaving;
            return true;
        }
        return false;
    }
    const auto choice = ServerChoice::forCall(m_parts, m_job.call.service, m_tried);
    if (!choice) {
        if (m_tried.empty())
            m_failure = failure(Outcome::NotRun, choice.error().message);
        return false;
    }
    m_address = choice.value().address;
    m_serverId = choice.value().serverId;
    return true;
}

void CallRunner::callServer()
{
    m_tried.insert(m_address);
    m_link = m_parts.links.link(m_address);
    if (!m_link)
        return goOn(failure(Outcome::NotRun, m_address + " is not IP:PORT"));
    callOn(m_link->open(sidecar_paths::call));
}

void CallRunner::callOn(LinkStream opened)
{
    const std::uint64_t number = ++m_streamNumber;
    m_stream = std::move(opened);
    m_countedId = m_serverId;
    m_parts.servers.startWork(m_countedId);
    Call call = m_job.call;
    const auto left = std::chrono::duration_cast<milliseconds>(m_job.deadline - m_parts.clock());
    call.deadlineMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
    m_stream.stream->send(encodeMessage(call));
    m_stream.stream->finish();
    const std::weak_ptr<CallRunner> weak = weak_from_this();
    FrameHooks::set(m_stream.stream,
                    {[weak, number](Frame frame) {
                         if (const auto self = weak.lock())
                             self->m_queue.post([self, number, frame = std::move(frame)] {
                                 self->frameArrived(number, frame);
                             });
                     },
                     [weak, number](const Error &error) {
                         if (const auto self = weak.lock())
                             self->m_queue.post(
                                 [self, number, error] { self->streamClosed(number, error); });
                     }});
}

void CallRunner::frameArrived(std::uint64_t stream, const Frame &frame)
{
    if (m_ended || stream != m_streamNumber)
        return;
    auto result = decodeMessage<CallResult>(frame);
    if (!result || result.value().requestId != m_job.call.requestId) {
        m_parts.metrics.add("call_results_dropped_total");
        return;
    }
    takeResult(std::move(result).value());
}

void CallRunner::streamClosed(std::uint64_t stream, const Error &error)
{
    if (m_ended || stream != m_streamNumber)
        return;
    if (error.code == ErrorCode::Unavailable)
        return goOn(failure(Outcome::NotRun, "nothing was sent: " + error.message));
    goOn(failure(Outcome::Unknown, "the connection was lost before the result: " + error.message));
}

void CallRunner::takeResult(CallResult result)
{
    if (result.outcome == Outcome::Done)
        respond(std::move(result));
    else if (result.status == statusConflict)
        refuse(result.message);
    else
        goOn(std::move(result));
}

void CallRunner::goOn(CallResult result)
{
    leaveServer();
    m_failure = std::move(result);
    const bool isUnknown = m_failure.outcome == Outcome::Unknown;
    if (isUnknown && askHomeAgain(m_failure))
        return;
    m_mayHaveRun = m_mayHaveRun || isUnknown;
    const bool isSafe =
        m_job.isKeyed() ? mayAskNextHome(m_failure) : !isUnknown || m_job.call.idempotent;
    const TimePoint now = m_parts.clock();
    if (!isSafe || now >= m_job.deadline || !mayRetry(now))
        return fail();
    m_parts.metrics.add("retries_total{kind=\"call\"}");
    callNext();
}

// The claim of a key makes asking its home again safe: a call that ran is answered, not run again.
bool CallRunner::askHomeAgain(const CallResult &result)
{
    const bool lostConnection = result.requestId.empty();
    if (!m_job.isKeyed() || !lostConnection || m_askedAgain || m_parts.clock() >= m_job.deadline)
        return false;
    m_askedAgain = true;
    m_mayHaveRun = true;
    callOn(m_link->openAnew(sidecar_paths::call, m_stream.connection));
    return true;
}

// A leaving home refuses every new key, however few calls succeed meanwhile.
bool CallRunner::mayRetry(TimePoint now)
{
    return m_serverLeaves || m_parts.retries.tryConsume(m_job.call.service, now);
}

// A home that advises a retry has claimed nothing, so the next one may claim and run the call.
bool CallRunner::mayAskNextHome(const CallResult &result)
{
    const bool isAnswered = !result.requestId.empty();
    return result.outcome == Outcome::NotRun || (isAnswered && result.retryAfterMs > 0);
}

void CallRunner::tick()
{
    if (m_ended)
        return;
    if (m_parts.clock() >= m_job.deadline) {
        m_failure = failure(Outcome::Unknown, "no result before the deadline");
        m_mayHaveRun = true;
        return fail();
    }
    // A call without a key that must run once has no other way to its result than this stream.
    const bool mayLeave = m_job.call.idempotent || m_job.isKeyed();
    if (mayLeave && m_stream.stream && m_link->connection() != m_stream.connection)
        goOn(failure(Outcome::Unknown, "the connection is silent"));
}

void CallRunner::callerGone()
{
    // Other calls go on, since cutting them could leave their outcome unknown.
    if (!m_ended && m_job.call.idempotent)
        end();
}

void CallRunner::respond(CallResult result)
{
    m_parts.retries.deposit(m_job.call.service, m_parts.clock());
    m_parts.metrics.add("calls_total{outcome=\"done\"}");
    HttpResponse response {static_cast<int>(result.status), HeaderFilter::response(result.headers),
                           std::move(result.body)};
    response.headers.push_back({"traceparent", m_traceparent});
    m_responder->respond(std::move(response));
    end();
}

void CallRunner::fail()
{
    // Only a sidecar that has read the claim of a key knows of its earlier attempts.
    const bool isAnswered = !m_failure.requestId.empty();
    const bool isNotRun = !m_mayHaveRun && (!m_job.isKeyed() || isAnswered);
    // The last server has sent nothing; only earlier attempts of the key are unknown.
    const bool isRefused = !m_mayHaveRun || mayAskNextHome(m_failure);
    const Error error {isRefused ? ErrorCode::Unavailable : ErrorCode::Timeout, m_failure.message};
    m_parts.metrics.add(isNotRun ? "calls_total{outcome=\"not-run\"}"
                                 : "calls_total{outcome=\"unknown\"}");
    m_responder->respond(Problem::of(error, isNotRun ? Problem::notRun : Problem::unknown,
                                     milliseconds(m_failure.retryAfterMs),
                                     m_parts.settings.retryAfter)
                             .response());
    end();
}

// The claim of a key names one request, so this other one was never run under it.
void CallRunner::refuse(const std::string &message)
{
    m_parts.metrics.add("calls_total{outcome=\"refused\"}");
    m_responder->respond(Problem::of({ErrorCode::Conflict, message}, Problem::notRun, {},
                                     m_parts.settings.retryAfter)
                             .response());
    end();
}

void CallRunner::leaveServer()
{
    if (m_stream.stream)
        m_stream.stream->reset();
    m_stream.stream = nullptr;
    ++m_streamNumber;
    if (!m_countedId.empty())
        m_parts.servers.endWork(std::exchange(m_countedId, {}));
}

void CallRunner::end()
{
    m_ended = true;
    leaveServer();
    m_timer.cancel();
    m_pass.reset();
    m_parts.calls.remove(shared_from_this());
}

} // namespace foxtailring
