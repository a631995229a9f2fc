#include "Http2Callbacks.h"

#include "Http2SessionStream.h"

namespace foxtailring {

namespace {

// nghttp2 closes a connection with too many resets, as a defence against rapid-reset attacks. The
// limit is high because many generations may be cancelled at once and only processes of this system
// connect here.
constexpr std::uint64_t maxResetBurst = 10 * Http2Session::maxConcurrentStreams;
constexpr std::uint64_t maxResetsPerSecond = Http2Session::maxConcurrentStreams;

Http2Session *sessionOf(void *user)
{
    return static_cast<Http2Session *>(user);
}

std::string_view textOf(const std::uint8_t *bytes, std::size_t size)
{
    return {reinterpret_cast<const char *>(bytes), size};
}

bool isHeaders(const nghttp2_frame *frame)
{
    return frame->hd.type == NGHTTP2_HEADERS;
}

bool isRequestHead(const nghttp2_frame *frame)
{
    return isHeaders(frame) && frame->headers.cat == NGHTTP2_HCAT_REQUEST;
}

struct OptionDeleter
{
    void operator()(nghttp2_option *option) const { nghttp2_option_del(option); }
};

struct CallbacksDeleter
{
    void operator()(nghttp2_session_callbacks *callbacks) const
    {
        nghttp2_session_callbacks_del(callbacks);
    }
};

std::unique_ptr<nghttp2_option, OptionDeleter> makeOptions()
{
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    // Limit on new streams until the server's SETTINGS frame arrives; servers use the same value.
    nghttp2_option_set_peer_max_concurrent_streams(option, Http2Session::maxConcurrentStreams);
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_option_set_stream_reset_rate_limit(option, maxResetBurst, maxResetsPerSecond);
    // A stream's window is updated only after its data hook has consumed the bytes.
    nghttp2_option_set_no_auto_window_update(option, 1);
    return std::unique_ptr<nghttp2_option, OptionDeleter>(option);
}

} // namespace

nghttp2_session *Http2Callbacks::makeSession(Http2Session *session, bool isServer)
{
    nghttp2_session_callbacks *created = nullptr;
    nghttp2_session_callbacks_new(&created);
    const std::unique_ptr<nghttp2_session_callbacks, CallbacksDeleter> callbacks(created);
    setCallbacks(created);
    const auto options = makeOptions();
    nghttp2_session *nghttp2Session = nullptr;
    if (isServer)
        nghttp2_session_server_new2(&nghttp2Session, created, session, options.get());
    else
        nghttp2_session_client_new2(&nghttp2Session, created, session, options.get());
    return nghttp2Session;
}

nghttp2_data_provider Http2Callbacks::dataProvider()
{
    nghttp2_data_provider provider {};
    provider.read_callback = &Http2Callbacks::readData;
    return provider;
}

void Http2Callbacks::setCallbacks(nghttp2_session_callbacks *callbacks)
{
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &onFrameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &onDataReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &onFrameSent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, &onFrameNotSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &onStreamClosed);
}

int Http2Callbacks::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    if (isRequestHead(frame))
        sessionOf(user)->onStreamBegin(frame->hd.stream_id);
    return 0;
}

int Http2Callbacks::onHeader(nghttp2_session *, const nghttp2_frame *frame,
                             const std::uint8_t *name, std::size_t nameSize,
                             const std::uint8_t *value, std::size_t valueSize, std::uint8_t,
                             void *user)
{
    if (!isRequestHead(frame))
        return 0;
    return sessionOf(user)->onHeaderReceived(frame->hd.stream_id, textOf(name, nameSize),
                                             textOf(value, valueSize));
}

int Http2Callbacks::onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    Http2Session *session = sessionOf(user);
    if (frame->hd.type == NGHTTP2_GOAWAY)
        session->onGoAwayReceived();
    if (isRequestHead(frame))
        session->onHeadReceived(frame->hd.stream_id);
    const bool endsStream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (endsStream && (isHeaders(frame) || frame->hd.type == NGHTTP2_DATA))
        session->onRemoteEnd(frame->hd.stream_id);
    return 0;
}

int Http2Callbacks::onDataReceived(nghttp2_session *, std::uint8_t, std::int32_t id,
                                   const std::uint8_t *data, std::size_t size, void *user)
{
    sessionOf(user)->onDataReceived(id, textOf(data, size));
    return 0;
}

int Http2Callbacks::onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    if (isHeaders(frame))
        sessionOf(user)->onHeadSent(frame->hd.stream_id);
    return 0;
}

int Http2Callbacks::onFrameNotSent(nghttp2_session *, const nghttp2_frame *frame, int, void *user)
{
    if (isHeaders(frame))
        sessionOf(user)->onStreamClosed(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
    return 0;
}

int Http2Callbacks::onStreamClosed(nghttp2_session *, std::int32_t id, std::uint32_t errorCode,
                                   void *user)
{
    sessionOf(user)->onStreamClosed(id, errorCode);
    return 0;
}

ssize_t Http2Callbacks::readData(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                                 std::size_t size, std::uint32_t *flags, nghttp2_data_source *,
                                 void *user)
{
    Http2SessionStream *stream = sessionOf(user)->find(id);
    if (!stream)
        return NGHTTP2_ERR_DEFERRED;
    bool isLast = false;
    const std::size_t taken = stream->takeOutput({buffer, size}, isLast);
    if (isLast)
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    else if (taken == 0)
        return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(taken);
}

} // namespace foxtailring
