#pragma once

#include "foxtailring/protocol/HttpHeader.h"
#include "foxtailring/transport/HttpResponse.h"

#include <functional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Answers one HTTP request. Thread-safe; may be kept after the handler has returned.
///
/// Either respond() is called, or startStream(), any number of write() and finish().
class Http1Responder
{
public:
    virtual ~Http1Responder() = default;

    virtual void respond(HttpResponse response) = 0;
    /// \brief Sends the head of a chunked response.
    virtual void startStream(int status, std::vector<HttpHeader> headers) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void finish() = 0;
    /// \brief Closes the connection without a final chunk, so that the caller sees a cut answer.
    ///
    /// Chunks that were written before still go out. Destroying the responder of an unfinished
    /// stream has the same effect.
    virtual void abort() = 0;
    /// \brief \a hook runs once when the caller goes away before the response is complete.
    virtual void onDisconnect(std::function<void()> hook) = 0;
    /// \brief Bytes written that the caller's connection has not taken yet.
    virtual std::size_t pendingBytes() const = 0;
};

} // namespace foxtailring
