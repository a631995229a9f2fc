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
/// Connects on the first open(), and reconnects on the first open() after the connection is lost.
/// Streams of a lost connection end with Closed, or with Unavailable when their headers were not
/// sent.
class Http2Client
{
public:
    Http2Client(WorkerPool &pool, const Endpoint &endpoint);
    /// \brief Calls close().
    ~Http2Client();
    Http2Client(const Http2Client &) = delete;
    Http2Client &operator=(const Http2Client &) = delete;

    /// \brief Opens a POST stream. Failures are reported by Http2Stream::onClosed() only.
    std::shared_ptr<Http2Stream> open(std::string path, std::vector<HttpHeader> headers = {});
    /// \brief Drops the current connection, so that the next open() creates a new one.
    ///
    /// Closes the old connection if \a closeOld is true; otherwise its streams continue.
    void reconnect(bool closeOld);
    void close();
    bool isConnected() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
