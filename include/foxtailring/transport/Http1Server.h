#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpLimits.h"
#include "foxtailring/transport/HttpRequest.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace foxtailring {

class Http1Responder;
class RequestMemory;
class WorkerPool;
struct ConnectionCut;
struct Endpoint;

/// \brief HTTP/1.1 server over Boost.Beast.
///
/// Responds with 400 to malformed requests, 408 to those that do not arrive within the time limits,
/// 413 to oversized bodies and 431 to oversized heads, each with a problem body, and with 500 when
/// the handler throws or destroys its responder unused. A handler that is running when close() is
/// called runs to completion.
class Http1Server
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<Http1Responder>)>;
    using CutHook = std::function<void(const ConnectionCut &)>;
    using BodyTimeHook =
        std::function<std::optional<std::chrono::milliseconds>(const HttpRequest &head)>;
    using MemoryHook = std::function<std::shared_ptr<RequestMemory>()>;

    Http1Server(WorkerPool &pool, const Endpoint &endpoint, HttpLimits limits, Handler handler);
    /// \brief Calls close().
    ~Http1Server();
    Http1Server(const Http1Server &) = delete;
    Http1Server &operator=(const Http1Server &) = delete;

    /// \brief Calls \a hook for each connection that is cut; to be set before listen(). The close
    /// of an idle connection is no cut.
    void onConnectionCut(CutHook hook);
    /// \brief Refuses a request whose body is not complete within the time that \a hook returns,
    /// from the arrival of its head on; nullopt: no such limit. To be set before listen().
    ///
    /// Called on any thread, with a request without body, when a body does not arrive together with
    /// its head, and again after setLimits(): the longer time holds. The first time of a body
    /// that had none counts from then on.
    void limitBodyTime(BodyTimeHook hook);
    /// \brief Counts each request from its first byte on in the memory that \a hook returns. One
    /// that may not grow is refused at once, without the handler, and its connection closed. The
    /// handler's request owns the memory. To be set before listen(); called on any thread.
    void limitMemory(MemoryHook hook);
    /// \brief Starts accepting connections and returns the port. InvalidArgument: the endpoint is
    /// not an IP address. Unavailable: binding failed.
    Result<std::uint16_t> listen();
    /// \brief Sets the limits of requests whose first byte arrives from now on. Longer time limits
    /// also apply to requests in progress and to idle connections. The same limits as before only
    /// reach connections whose body is arriving, see limitBodyTime().
    void setLimits(HttpLimits limits);
    /// \brief Closes each connection after its next response; new connections are still accepted.
    void disableKeepAlive();
    /// \brief Leaves connection attempts unanswered, so that stopAccepting() resets none whose
    /// handshake it crosses. To be called a round trip before it. Unavailable: the system does not
    /// support it.
    Result<Done> ignoreNewConnections();
    /// \brief Refuses new connections. Open ones close after their next response.
    void stopAccepting();
    /// \brief Closes idle connections at once, after stopAccepting(): what arrives later is not
    /// read. Requests that have arrived whole, read or not, get their response; parts are refused
    /// with 503.
    void closeIdle();
    /// \brief Refuses each request that arrives whole from now on with 503, without the handler.
    void refuseRequests();
    /// \brief Closes all connections without waiting for responses.
    void close();
    std::size_t openConnectionCount() const;
    /// \brief Number of connections that are about to bring a request: new ones, and those on which
    /// a part of one has arrived.
    std::size_t expectedRequestCount() const;
    /// \brief Number of connections that a request may still be read from or be open on: all but
    /// those whose last response was written.
    std::size_t usableConnectionCount() const;
    /// \brief Number of requests whose response is not complete.
    std::size_t openRequestCount() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
