#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/gateway/BackendCodec.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace foxtailring {

class Http1Responder;
class RequestReporter;
struct GatewayRequest;
struct ServerAttempt;

/// \brief Answers the caller of one request: with a whole answer, a refusal, or events as they
/// arrive.
class CallerAnswer
{
public:
    /// \param codec and the other references must outlive the answer
    CallerAnswer(const BackendCodec &codec, const GatewayRequest &request,
                 const RequestReporter &reporter, std::shared_ptr<Http1Responder> responder);

    /// \brief True if the head of a streamed answer was sent.
    bool hasStarted() const { return m_hasStarted; }
    /// \brief Bytes that the caller has not read yet.
    std::size_t pendingBytes() const;
    /// \brief Bytes of events that were passed on.
    std::size_t passedBytes() const { return m_passedBytes; }
    /// \brief \a hook runs on a worker thread if the caller disconnects before the end.
    void onDisconnect(std::function<void()> hook);

    /// \brief Passes on the next event of \a attempt. False: the caller reads too slowly, and the
    /// answer must be aborted.
    bool passEvent(ServerAttempt &attempt, std::string_view text, TimePoint now);
    /// \brief Sends the head of a streamed answer unless it was sent.
    void startStream(const ServerAttempt &attempt);
    void finishStream();
    /// \brief Passes on the whole answer of \a attempt, whose body is moved from.
    void respond(ServerAttempt &attempt);
    void refuse(const Refuse &refusal);
    /// \brief Cuts a streamed answer, so that the caller does not take it for complete.
    void abort();

private:
    void recordResume(ServerAttempt &attempt, TimePoint now);

    const BackendCodec &m_codec;
    const GatewayRequest &m_request;
    const RequestReporter &m_reporter;
    const std::shared_ptr<Http1Responder> m_responder;
    TimePoint m_lastEventAt;
    std::size_t m_passedBytes = 0;
    bool m_hasStarted = false;
};

} // namespace foxtailring
