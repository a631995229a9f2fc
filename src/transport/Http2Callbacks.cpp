#include "Http2Callbacks.h"

#include "Http2SessionStream.h"

namespace foxtailring {

namespace {

// Cancelling many generations at once must not count as a reset attack, which ends the connection:
// only processes of this system connect here.
constexpr std::uint64_t resetBurst = 10 * Http2Session::maxConcurrentStreams;
constexpr std::uint64_t resetsPerSecond = Http2Session::maxConcurrentStreams;

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
    // Until the server's settings arrive, a burst of new streams assumes the same limit.
    nghttp2_option_set_peer_max_concurrent_streams(option, Http2Session::maxConcurrentStreams);
    nghttp2_option_set_no_closed_streams(option, 1);
    nghttp2_option_set_stream_reset_rate_limit(option, resetBurst, resetsPerSecond);
    // The window of a stream opens again only when its data hook has taken the bytes.
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
    nghttp2_session *made = nullptr;
    if (isServer)
        nghttp2_session_server_new2(&made, created, session, options.get());
    else
        nghttp2_session_client_new2(&made, created, session, options.get());
    return made;
}

nghttp2_data_provider Http2Callbacks::dataProvider()
{
    nghttp2_data_provider provider {};
    provider.read_callback = &Http2Callbacks::readData;
    return provider;
}

void Http2Callbacks::setCallbacks(nghttp2_session_callbacks *callbacks)
{
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &beginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &header);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &frameReceived);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &dataReceived);
    nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, &frameSent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, &frameNotSent);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &streamClosed);
}

int Http2Callbacks::beginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    if (isRequestHead(frame))
        sessionOf(user)->streamBegun(frame->hd.stream_id);
    return 0;
}

int Http2Callbacks::header(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                           std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize,
                           std::uint8_t, void *user)
{
    if (!isRequestHead(frame))
        return 0;
    return sessionOf(user)->headerReceived(frame->hd.stream_id, textOf(name, nameSize),
                                           textOf(value, valueSize));
}

int Http2Callbacks::frameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    Http2Session *session = sessionOf(user);
    if (frame->hd.type == NGHTTP2_GOAWAY)
        session->goAwayReceived();
    if (isRequestHead(frame))
        session->headReceived(frame->hd.stream_id);
    const bool endsStream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (endsStream && (isHeaders(frame) || frame->hd.type == NGHTTP2_DATA))
        session->remoteEnded(frame->hd.stream_id);
    return 0;
}

int Http2Callbacks::dataReceived(nghttp2_session *, std::uint8_t, std::int32_t id,
                                 const std::uint8_t *data, std::size_t size, void *user)
{
    sessionOf(user)->dataReceived(id, textOf(data, size));
    return 0;
}

int Http2Callbacks::frameSent(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    if (isHeaders(frame))
        sessionOf(user)->headSent(frame->hd.stream_id);
    return 0;
}

int Http2Callbacks::frameNotSent(nghttp2_session *, const nghttp2_frame *frame, int, void *user)
{
    if (isHeaders(frame))
        sessionOf(user)->streamClosed(frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
    return 0;
}

int Http2Callbacks::streamClosed(nghttp2_session *, std::int32_t id, std::uint32_t errorCode,
                                 void *user)
{
    sessionOf(user)->streamClosed(id, errorCode);
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
