#pragma once

#include "foxtailring/protocol/HttpHeader.h"
#include "foxtailring/transport/HttpResponse.h"

#include <functional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Sends the response to one HTTP request. Thread-safe; may outlive the handler's call.
///
/// Call either respond(), or startStream(), any number of write() and then finish().
class Http1Responder
{
public:
    virtual ~Http1Responder() = default;

    virtual void respond(HttpResponse response) = 0;
    /// \brief Sends status and headers of a streamed response.
    virtual void startStream(int status, std::vector<HttpHeader> headers) = 0;
    virtual void write(std::string chunk) = 0;
    virtual void finish() = 0;
    /// \brief Closes the connection without a final chunk, so that the caller sees a truncated
    /// response.
    ///
    /// Chunks that were already written are still sent. Destroying the responder of an unfinished
    /// stream has the same effect.
    virtual void abort() = 0;
    /// \brief \a hook runs once if the caller disconnects before the response is complete.
    virtual void onDisconnect(std::function<void()> hook) = 0;
    /// \brief Payload bytes not yet written to the socket.
    virtual std::size_t pendingBytes() const = 0;
};

} // namespace foxtailring
