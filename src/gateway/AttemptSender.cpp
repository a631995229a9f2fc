#include "AttemptSender.h"

#include "foxtailring/decisions/configuration/HttpRoute.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/gateway/BackendCodec.h"
#include "foxtailring/gateway/GatewayRequest.h"

#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// Covers one round trip between regions. A lost packet is not waited for: trying another server is
// faster than the retransmission.
constexpr milliseconds connectTimeout {250};
// Another server is tried then.
constexpr milliseconds acknowledgeTimeout {1500};
// A sound server may be silent for 1.5 s. Its acknowledgement may come 4.5 s late, since the
// interval between retransmissions doubles, and no other server may execute the request.
constexpr milliseconds lastAcknowledgeTimeout {5000};
// A request that may not be retried is lost if its kept-alive connection turns out to be dead, so
// it only uses connections that have been idle for a short time.
constexpr milliseconds maxReuseIdle {8000};
constexpr milliseconds cautiousMaxReuseIdle {1500};

} // namespace

AttemptSender::AttemptSender(Http1Client &client, const BackendCodec &codec,
                             const GatewayRequest &request, const HttpRoute &route,
                             std::string account)
    : m_client(client)
    , m_codec(codec)
    , m_request(request)
    , m_route(route)
    , m_account(std::move(account))
{
}

std::shared_ptr<Http1Stream> AttemptSender::send(const SendAttempt &attempt,
                                                 const Endpoint &endpoint, StreamHooks hooks) const
{
    setConnectionHooks(hooks);
    return m_client.stream(endpoint, m_codec.encodeAttempt(m_request, metadata(attempt)),
                           std::move(hooks), exchangeOptions());
}

AttemptMetadata AttemptSender::metadata(const SendAttempt &attempt) const
{
    AttemptMetadata metadata;
    metadata.serverId = attempt.server.info.id;
    metadata.account = m_account;
    metadata.timeLeft = attempt.timeLeft;
    metadata.lastEventId = attempt.lastEventId;
    if (attempt.copyTo)
        metadata.copyTo = attempt.copyTo->info.address;
    metadata.fromCopy = attempt.fromCopy;
    metadata.urgency = attempt.urgency;
    return metadata;
}

void AttemptSender::setConnectionHooks(StreamHooks &hooks) const
{
    // Only the refusal of a malformed request has no id. On a connection that was used before, it
    // may as well be an earlier answer that is written once more.
    hooks.matchesRequest = [codec = &m_codec, id = m_request.id](const HttpResponse &response,
                                                                 bool isFirstResponse) {
        const std::string answered = codec->decodeAnswer(response).requestId;
        return answered.empty() ? isFirstResponse : answered == id;
    };
    // A repeated refusal with the id of this request could meet its next attempt at the same
    // address, so no connection that carried a refusal is used again.
    hooks.allowsReuse = [codec = &m_codec](const HttpResponse &response) {
        const BackendAnswer answer = codec->decodeAnswer(response);
        return !answer.isNotRun && !answer.isOtherServer;
    };
}

ExchangeOptions AttemptSender::exchangeOptions() const
{
    ExchangeOptions options;
    options.connectTimeout = connectTimeout;
    options.unacknowledgedTimeout =
        m_route.allowsRetry() ? acknowledgeTimeout : lastAcknowledgeTimeout;
    options.maxIdleTime = m_route.allowsRetry() ? maxReuseIdle : cautiousMaxReuseIdle;
    return options;
}

} // namespace foxtailring
