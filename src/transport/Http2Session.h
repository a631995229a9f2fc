#pragma once

#include "foxtailring/protocol/HttpHeader.h"
#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/Http2Server.h"
#include "Net.h"
#include "StrandTimer.h"

#include <nghttp2/nghttp2.h>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace foxtailring {

class Http2SessionStream;

/// \brief One HTTP/2 connection of a client or a server.
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
    static constexpr std::uint32_t maxConcurrentStreams = 10'000;

    /// \param handler called with new streams; empty on the client side
    Http2Session(Socket socket, Http2Server::Handler handler);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    // Thread-safe.
    void start();
    void connect(const Endpoint &endpoint);
    std::shared_ptr<Http2Stream> open(std::string path, std::vector<HttpHeader> headers);
    /// \brief Refuses new streams, and closes after the open ones have ended.
    void retire();
    void close();
    /// \brief False when a new stream would be refused or lost.
    bool isUsable() const { return m_isUsable; }
    bool isConnected() const { return m_isUsable && m_isConnected; }

    // On the strand, called by streams.
    void onOutputReady(Http2SessionStream &stream);
    void resetStream(std::int32_t id);
    void onConsumed(std::int32_t id, std::size_t size);

private:
    friend struct Http2Callbacks;

    // Callbacks of nghttp2.
    void onStreamBegin(std::int32_t id);
    int onHeaderReceived(std::int32_t id, std::string_view name, std::string_view value);
    void onHeadReceived(std::int32_t id);
    void onRemoteEnd(std::int32_t id);
    void onDataReceived(std::int32_t id, std::string_view bytes);
    void onHeadSent(std::int32_t id);
    void onStreamClosed(std::int32_t id, std::uint32_t errorCode);
    void onGoAwayReceived();
    Http2SessionStream *find(std::int32_t id);

    bool isServer() const { return static_cast<bool>(m_handler); }
    void submitSettings();
    void submitStream(const std::shared_ptr<Http2SessionStream> &stream);
    void submitResponse(Http2SessionStream &stream);
    void onConnected(ErrorStatus status);
    void startIo();
    void read();
    void onRead(ErrorStatus status, std::size_t size);
    void scheduleFlush();
    void flush();
    void fillOutput();
    void onWritten(ErrorStatus status);
    void retireNow();
    void closeIfUnused();
    void shutDown(std::string_view reason);

    Socket m_socket;
    const Http2Server::Handler m_handler;
    StrandTimer m_timer; ///< connect timeout, later close timeout
    nghttp2_session *m_session = nullptr;
    std::unordered_map<std::int32_t, std::shared_ptr<Http2SessionStream>> m_streams;
    std::atomic<bool> m_isUsable = true;
    std::atomic<bool> m_isConnected = false;
    bool m_isRetired = false;
    bool m_isTerminated = false;
    bool m_isClosed = false;

    std::array<std::uint8_t, 16 * 1024> m_input;
    std::string m_output; ///< being written while m_isWriting
    bool m_isWriting = false;
    bool m_flushScheduled = false;
};

} // namespace foxtailring
