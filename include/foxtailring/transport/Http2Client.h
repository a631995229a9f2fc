#pragma once

#include "foxtailring/protocol/HttpHeader.h"

#include <memory>
#include <string>
#include <vector>

namespace foxtailring {

class Http2Stream;
class WorkerPool;
struct Endpoint;

/// \brief HTTP/2 connection (prior knowledge, no TLS) to one endpoint, over nghttp2. Thread-safe.
///
/// Connects on the first open(), and again on an open() after the connection was lost. Streams of
/// a lost connection end with Closed; those that could not be sent end with Unavailable.
class Http2Client
{
public:
    Http2Client(WorkerPool &pool, const Endpoint &endpoint);
    /// \brief Calls close().
    ~Http2Client();
    Http2Client(const Http2Client &) = delete;
    Http2Client &operator=(const Http2Client &) = delete;

    /// \brief Opens a POST stream. Never fails at once; the stream's closed hook tells.
    std::shared_ptr<Http2Stream> open(std::string path, std::vector<HttpHeader> headers = {});
    /// \brief Abandons the present connection, so that the next open() makes a new one.
    ///
    /// Streams of the old connection go on until it is lost or \a closeOld is set.
    void reconnect(bool closeOld);
    void close();
    bool isConnected() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
