#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/ExchangeOptions.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/HttpResponse.h"
#include "foxtailring/transport/KeepIdleHook.h"
#include "foxtailring/transport/StreamHooks.h"

#include <chrono>
#include <functional>
#include <memory>

namespace foxtailring {

class Http1Stream;
class WorkerPool;
struct Endpoint;

/// \brief HTTP/1.1 client over Boost.Beast. Thread-safe.
///
/// Exchanges in progress continue after the client is destroyed.
class Http1Client
{
public:
    using ResponseHook = std::function<void(Result<HttpResponse>)>;

    explicit Http1Client(WorkerPool &pool);
    ~Http1Client();

    /// \brief Sends a request and passes the whole response to \a hook, which runs exactly once.
    ///
    /// Unavailable: nothing was sent, since no connection could be made or it was reset before.
    /// Timeout, Closed and Malformed: the request may have taken effect; Malformed means that the
    /// response cannot be parsed or that its body exceeds ExchangeOptions::maxBodyBytes.
    /// InvalidArgument: method or target cannot be sent. A request is never sent twice.
    void request(const Endpoint &endpoint, HttpRequest request, std::chrono::milliseconds timeout,
                 ResponseHook hook, ExchangeOptions options = ExchangeOptions::pooled());

    /// \brief Sends a request and delivers the response as it arrives, without a timeout.
    ///
    /// onClosed gets Unavailable when nothing was sent, Closed when the response was cut off,
    /// Malformed when it cannot be parsed and InvalidArgument when method or target cannot be sent.
    /// Destroying the handle does not end the exchange.
    std::shared_ptr<Http1Stream> stream(const Endpoint &endpoint, HttpRequest request,
                                        StreamHooks hooks, ExchangeOptions options = {});

    /// \brief Decides about connections that become idle from now on. Without it, up to 64 to each
    /// endpoint are kept for up to 20 s.
    void setKeepIdleHook(KeepIdleHook hook);
    /// \brief Closes the idle connections to \a endpoint and returns their number.
    std::size_t closeIdle(const Endpoint &endpoint);
    /// \brief Closes idle connections that were kept for long enough. Otherwise that waits for the
    /// next exchange.
    void closeExpiredIdle();
    std::size_t idleCount() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
