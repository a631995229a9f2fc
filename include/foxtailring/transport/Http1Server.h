#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpLimits.h"
#include "foxtailring/transport/HttpRequest.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailring {

class Http1Responder;
class WorkerPool;
struct Endpoint;

/// \brief HTTP/1.1 server over Boost.Beast.
///
/// Malformed requests are answered 400, large bodies 413 and large heads 431, with a problem body.
/// A handler that throws or drops its responder unused is answered 500. A handler that is running
/// when close() is called runs to its end.
class Http1Server
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<Http1Responder>)>;

    Http1Server(WorkerPool &pool, const Endpoint &endpoint, HttpLimits limits, Handler handler);
    /// \brief Calls close().
    ~Http1Server();
    Http1Server(const Http1Server &) = delete;
    Http1Server &operator=(const Http1Server &) = delete;

    /// \brief Binds and accepts; returns the port. Unavailable when the address is taken.
    Result<std::uint16_t> listen();
    /// \brief Limits for requests that begin from now on.
    void setLimits(HttpLimits limits);
    /// \brief Every response from now on closes its connection; new connections are still taken.
    void disableKeepAlive();
    /// \brief Refuses new connections. Open ones close after the request that is under way or that
    /// comes within a moment; they get a response.
    void stopAccepting();
    /// \brief Closes every connection at once.
    void close();
    std::size_t openConnectionCount() const;
    /// \brief Requests whose response is not complete.
    std::size_t openRequestCount() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
