#pragma once

#include "foxtailring/gateway/AttemptMetadata.h"
#include "foxtailring/transport/Http1Client.h"

#include <memory>
#include <string>

namespace foxtailring {

class Http1Stream;
struct BackendCodec;
struct Endpoint;
struct GatewayRequest;
struct HttpRoute;
struct SendAttempt;

/// \brief Sends the attempts of one request to servers, and decides which connections may carry
/// them.
class AttemptSender
{
public:
    /// \param client and the other references must outlive the sender; \a codec also the streams
    /// \param account client account of the caller; empty on a public route
    AttemptSender(Http1Client &client, const BackendCodec &codec, const GatewayRequest &request,
                  const HttpRoute &route, std::string account);

    /// \param hooks onHead, onBody and onClosed, which run on worker threads; the others are set
    /// here
    std::shared_ptr<Http1Stream> send(const SendAttempt &attempt, const Endpoint &endpoint,
                                      StreamHooks hooks) const;
    /// \brief How each attempt is sent.
    ExchangeOptions exchangeOptions() const;

private:
    AttemptMetadata metadata(const SendAttempt &attempt) const;
    void setConnectionHooks(StreamHooks &hooks) const;

    Http1Client &m_client;
    const BackendCodec &m_codec;
    const GatewayRequest &m_request;
    const HttpRoute &m_route;
    const std::string m_account;
};

} // namespace foxtailring
