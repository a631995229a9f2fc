#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/ExchangeOptions.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/HttpResponse.h"
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
/// Exchanges under way go on when the client is destroyed.
class Http1Client
{
public:
    using ResponseHook = std::function<void(Result<HttpResponse>)>;

    explicit Http1Client(WorkerPool &pool);
    ~Http1Client();

    /// \brief Sends a request and returns the whole response.
    ///
    /// Unavailable: nothing was sent, since no connection could be made. Timeout and Closed: the
    /// request may have taken effect; so does Malformed, for a response that cannot be parsed or
    /// is above 64 MiB. InvalidArgument: method or target cannot be sent. The hook runs exactly
    /// once. A request is never sent twice.
    void request(const Endpoint &endpoint, HttpRequest request, std::chrono::milliseconds timeout,
                 ResponseHook hook, ExchangeOptions options = ExchangeOptions::pooled());

    /// \brief Sends a request and passes the response on as it arrives, without a time limit.
    ///
    /// The closed hook gets Unavailable when nothing was sent, Closed after a cut and Malformed for
    /// a response that cannot be parsed. Dropping the handle does not end the exchange.
    std::shared_ptr<Http1Stream> stream(const Endpoint &endpoint, HttpRequest request,
                                        StreamHooks hooks, ExchangeOptions options = {});

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
