#include "CallerAnswer.h"

#include "foxtailring/gateway/GatewayRequest.h"
#include "foxtailring/transport/Http1Responder.h"

#include "Refusal.h"
#include "RequestReporter.h"
#include "ServerAttempt.h"

#include <string>
#include <utility>

namespace foxtailring {

namespace {

constexpr std::size_t maxUnreadCallerBytes = 1024 * 1024;

} // namespace

CallerAnswer::CallerAnswer(const BackendCodec &codec, const GatewayRequest &request,
                           const RequestReporter &reporter,
                           std::shared_ptr<Http1Responder> responder)
    : m_codec(codec)
    , m_request(request)
    , m_reporter(reporter)
    , m_responder(std::move(responder))
{
}

std::size_t CallerAnswer::pendingBytes() const
{
    return m_responder->pendingBytes();
}

void CallerAnswer::onDisconnect(std::function<void()> hook)
{
    m_responder->onDisconnect(std::move(hook));
}

// A caller that does not read is disconnected before it uses up the memory of other requests.
bool CallerAnswer::passEvent(ServerAttempt &attempt, std::string_view text, TimePoint now)
{
    recordResume(attempt, now);
    startStream(attempt);
    m_responder->write(std::string(text));
    m_passedBytes += text.size();
    return m_responder->pendingBytes() <= maxUnreadCallerBytes;
}

// The pause is the time between the last event before the failure and the first one after it, as
// the caller saw it.
void CallerAnswer::recordResume(ServerAttempt &attempt, TimePoint now)
{
    const bool isFirst = ++attempt.eventCount == 1;
    const bool isResumed = m_hasStarted && isFirst;
    const Duration pause = now - std::exchange(m_lastEventAt, now);
    if (isResumed)
        m_reporter.reportResume(attempt, pause);
}

void CallerAnswer::startStream(const ServerAttempt &attempt)
{
    if (m_hasStarted)
        return;
    // Before the flag is set, since it may throw.
    auto headers = m_codec.callerResponseHeaders(attempt.head);
    m_hasStarted = true;
    m_responder->startStream(attempt.answer.status, std::move(headers));
    m_reporter.reportFirstEvent();
}

void CallerAnswer::finishStream()
{
    m_responder->finish();
}

void CallerAnswer::respond(ServerAttempt &attempt)
{
    HttpResponse response;
    response.status = attempt.answer.status;
    response.headers = m_codec.callerResponseHeaders(attempt.head);
    response.body = std::move(attempt.body);
    m_responder->respond(std::move(response));
}

void CallerAnswer::refuse(const Refuse &refusal)
{
    m_responder->respond(refusalResponse(m_request.id, refusal));
}

void CallerAnswer::abort()
{
    m_responder->abort();
}

} // namespace foxtailring
