#pragma once

#include "foxtailring/base/Result.h"
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
class Http1Client
{
public:
    using ResponseHook = std::function<void(Result<HttpResponse>)>;

    explicit Http1Client(WorkerPool &pool);
    ~Http1Client();

    /// \brief Sends a request and returns the whole response.
    ///
    /// Unavailable: nothing was sent, since no connection could be made. Timeout and Closed: the
    /// request may have taken effect. The hook runs exactly once. A request is never sent twice.
    void request(const Endpoint &endpoint, HttpRequest request, std::chrono::milliseconds timeout,
                 ResponseHook hook);

    /// \brief Sends a request and passes the response on as it arrives, without a time limit.
    ///
    /// The closed hook gets Unavailable when nothing was sent, and Closed after a cut.
    std::shared_ptr<Http1Stream> stream(const Endpoint &endpoint, HttpRequest request,
                                        StreamHooks hooks);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
