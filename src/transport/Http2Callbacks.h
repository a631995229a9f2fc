#pragma once

#include "Http2Session.h"

#include <memory>

namespace foxtailring {

/// \brief Forwards the callbacks of nghttp2 to an Http2Session.
struct Http2Callbacks
{
    /// \brief Creates an nghttp2 session; clients and servers use the same callbacks and options.
    static nghttp2_session *makeSession(Http2Session *session, bool isServer);
    static nghttp2_data_provider dataProvider();

private:
    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize,
                        std::uint8_t flags, void *user);
    static int onFrameReceived(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onDataReceived(nghttp2_session *, std::uint8_t flags, std::int32_t id,
                              const std::uint8_t *data, std::size_t size, void *user);
    static int onFrameSent(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onFrameNotSent(nghttp2_session *, const nghttp2_frame *frame, int error, void *user);
    static int onStreamClosed(nghttp2_session *, std::int32_t id, std::uint32_t errorCode,
                              void *user);
    static ssize_t readData(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                            std::size_t size, std::uint32_t *flags, nghttp2_data_source *source,
                            void *user);
    static void setCallbacks(nghttp2_session_callbacks *callbacks);
};

} // namespace foxtailring
