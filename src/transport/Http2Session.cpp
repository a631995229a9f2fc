#include "Http2Session.h"

#include "HookGuard.h"
#include "Http2Callbacks.h"
#include "Http2SessionStream.h"

#include <boost/asio/post.hpp>

namespace foxtailring {

namespace {

// A retired connection is closed after this time even if its peer does not read the last frames.
constexpr std::chrono::milliseconds closeTimeout {1000};
constexpr std::int32_t streamWindowBytes = 1024 * 1024;
constexpr std::int32_t connectionWindowBytes = 16 * 1024 * 1024;

nghttp2_nv headerField(std::string_view name, std::string_view value)
{
    const auto bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::vector<nghttp2_nv> requestHead(const Http2SessionStream &stream)
{
    std::vector<nghttp2_nv> fields {headerField(":method", "POST"), headerField(":scheme", "http"),
                                    headerField(":path", stream.path()),
                                    headerField(":authority", "foxtailring")};
    for (const HttpHeader &header : stream.headers())
        fields.push_back(headerField(header.name, header.value));
    return fields;
}

} // namespace

Http2Session::Http2Session(Socket socket, Http2Server::Handler handler)
    : m_socket(std::move(socket))
    , m_handler(std::move(handler))
    , m_timer(m_socket.get_executor())
    , m_session(Http2Callbacks::makeSession(this, isServer()))
{
    submitSettings();
}

Http2Session::~Http2Session()
{
    // Streams are still open here only when the worker pool is destroyed.
    for (const auto &[id, stream] : m_streams)
        stream->dropHooks();
    nghttp2_session_del(m_session);
}

void Http2Session::submitSettings()
{
    std::vector<nghttp2_settings_entry> settings {
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxConcurrentStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes}};
    if (!isServer())
        settings.push_back({NGHTTP2_SETTINGS_ENABLE_PUSH, 0});
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

std::shared_ptr<Http2Stream> Http2Session::open(std::string path, std::vector<HttpHeader> headers)
{
    auto stream = std::make_shared<Http2SessionStream>(weak_from_this(), m_socket.get_executor());
    stream->setPath(std::move(path));
    stream->setHeaders(std::move(headers));
    net::post(m_socket.get_executor(),
              [self = shared_from_this(), stream] { self->submitStream(stream); });
    return stream;
}

void Http2Session::submitStream(const std::shared_ptr<Http2SessionStream> &stream)
{
    if (m_isClosed)
        return stream->onStreamClosed({ErrorCode::Unavailable, "not connected"});
    const auto head = requestHead(*stream);
    const nghttp2_data_provider provider = Http2Callbacks::dataProvider();
    const std::int32_t id =
        nghttp2_submit_request(m_session, nullptr, head.data(), head.size(), &provider, nullptr);
    if (id < 0) {
        m_isUsable = false;
        return stream->onStreamClosed({ErrorCode::Unavailable, nghttp2_strerror(id)});
    }
    stream->setId(id);
    m_streams.emplace(id, stream);
    scheduleFlush();
}

void Http2Session::onOutputReady(Http2SessionStream &stream)
{
    if (m_isClosed || !find(stream.id()))
        return;
    if (isServer() && !stream.isHeadSent())
        submitResponse(stream);
    else
        nghttp2_session_resume_data(m_session, stream.id());
    scheduleFlush();
}

void Http2Session::submitResponse(Http2SessionStream &stream)
{
    const nghttp2_nv head = headerField(":status", "200");
    const nghttp2_data_provider provider = Http2Callbacks::dataProvider();
    stream.setHeadSent();
    nghttp2_submit_response(m_session, stream.id(), &head, 1, &provider);
}

void Http2Session::resetStream(std::int32_t id)
{
    if (m_isClosed || m_streams.erase(id) == 0)
        return;
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    scheduleFlush();
    closeIfUnused();
}

void Http2Session::onConsumed(std::int32_t id, std::size_t size)
{
    if (m_isClosed)
        return;
    nghttp2_session_consume_stream(m_session, id, size);
    scheduleFlush();
}

Http2SessionStream *Http2Session::find(std::int32_t id)
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second.get();
}

void Http2Session::onStreamBegin(std::int32_t id)
{
    auto stream = std::make_shared<Http2SessionStream>(weak_from_this(), m_socket.get_executor());
    stream->setId(id);
    m_streams.emplace(id, std::move(stream));
}

int Http2Session::onHeaderReceived(std::int32_t id, std::string_view name, std::string_view value)
{
    Http2SessionStream *stream = find(id);
    const bool isTaken = stream && stream->addHeader(name, value);
    // nghttp2 resets the stream on this error.
    return isTaken ? 0 : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
}

void Http2Session::onHeadReceived(std::int32_t id)
{
    const auto found = m_streams.find(id);
    if (!isServer() || found == m_streams.end())
        return;
    if (m_isUsable) {
        runHook(m_handler, found->second);
        return;
    }
    // The server is stopping. REFUSED_STREAM tells the client that nothing was processed.
    m_streams.erase(found);
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
}

void Http2Session::onRemoteEnd(std::int32_t id)
{
    if (Http2SessionStream *stream = find(id))
        stream->onRemoteEnd();
}

void Http2Session::onDataReceived(std::int32_t id, std::string_view bytes)
{
    // The connection's window is updated at once, so that one slow stream does not block the
    // others.
    nghttp2_session_consume_connection(m_session, bytes.size());
    Http2SessionStream *stream = find(id);
    if (stream && stream->deliverData(bytes))
        nghttp2_session_consume_stream(m_session, id, bytes.size());
}

void Http2Session::onHeadSent(std::int32_t id)
{
    if (Http2SessionStream *stream = find(id))
        stream->setHeadSent();
}

void Http2Session::onStreamClosed(std::int32_t id, std::uint32_t errorCode)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
        return;
    const auto stream = std::move(found->second);
    m_streams.erase(found);
    if (errorCode == NGHTTP2_NO_ERROR && stream->hasEndedBothWays())
        return stream->onStreamClosed(Done());
    const bool isUnsent = !isServer() && !stream->isHeadSent();
    const bool wasRefused = !isServer() && errorCode == NGHTTP2_REFUSED_STREAM;
    stream->onStreamClosed(
        {isUnsent || wasRefused ? ErrorCode::Unavailable : ErrorCode::Closed,
         std::string("the stream ended with ") + nghttp2_http2_strerror(errorCode)});
}

void Http2Session::onGoAwayReceived()
{
    m_isUsable = false;
}

void Http2Session::retire()
{
    m_isUsable = false;
    net::post(m_socket.get_executor(), [self = shared_from_this()] { self->retireNow(); });
}

void Http2Session::retireNow()
{
    if (m_isClosed)
        return;
    m_isRetired = true;
    if (isServer())
        nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE,
                              nghttp2_session_get_last_proc_stream_id(m_session), NGHTTP2_NO_ERROR,
                              nullptr, 0);
    flush();
    closeIfUnused();
}

void Http2Session::close()
{
    m_isUsable = false;
    net::post(m_socket.get_executor(),
              [self = shared_from_this()] { self->shutDown("closed by this side"); });
}

// Ends a connection whose last stream has ended. The server waits for the client to close: closing
// with unread input would reset the connection, and the client would lose the GOAWAY that tells it
// which streams were never processed.
void Http2Session::closeIfUnused()
{
    if (m_isClosed)
        return;
    const bool isDone = !nghttp2_session_want_read(m_session)
        && !nghttp2_session_want_write(m_session) && !m_isWriting;
    if (isDone && !isServer())
        return shutDown("all streams have ended");
    const bool isUnused = m_isRetired && m_streams.empty();
    if (m_isTerminated || !(isDone || isUnused))
        return;
    m_isTerminated = true;
    nghttp2_session_terminate_session(m_session, NGHTTP2_NO_ERROR);
    m_timer.start(closeTimeout,
                  [self = shared_from_this()] { self->shutDown("all streams have ended"); });
    flush();
}

void Http2Session::shutDown(std::string_view reason)
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_isUsable = false;
    ErrorStatus ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    const auto streams = std::exchange(m_streams, {});
    for (const auto &[id, stream] : streams) {
        const bool isUnsent = !isServer() && !stream->isHeadSent();
        stream->onStreamClosed({isUnsent ? ErrorCode::Unavailable : ErrorCode::Closed,
                                "connection lost: " + std::string(reason)});
    }
}

} // namespace foxtailring
