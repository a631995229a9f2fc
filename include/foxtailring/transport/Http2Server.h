#pragma once

#include "foxtailring/base/Result.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailring {

class Http2Stream;
class WorkerPool;
struct Endpoint;

/// \brief HTTP/2 server (prior knowledge, no TLS) over nghttp2.
class Http2Server
{
public:
    using Handler = std::function<void(std::shared_ptr<Http2Stream>)>;

    /// \param handler called with each new stream after its headers have arrived
    Http2Server(WorkerPool &pool, const Endpoint &endpoint, Handler handler);
    /// \brief Calls close().
    ~Http2Server();
    Http2Server(const Http2Server &) = delete;
    Http2Server &operator=(const Http2Server &) = delete;

    /// \brief Starts accepting connections and returns the port. InvalidArgument: the endpoint is
    /// not an IP address. Unavailable: binding failed.
    Result<std::uint16_t> listen();
    /// \brief Refuses new connections and sends GOAWAY on open ones; their streams continue.
    void stopAccepting();
    void close();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
