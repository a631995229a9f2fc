#pragma once

#include "HttpClient.h"
#include "SseEvent.h"

#include <memory>
#include <optional>
#include <string>

namespace foxtailring::harness {

/// \brief Blocking client of one event stream. Its destructor closes the connection.
class SseStream
{
public:
    enum class End {
        Open,     ///< more data may arrive
        Finished, ///< the HTTP response is complete
        Broken,   ///< the connection ended within the response
    };

    /// \brief Sends \a call and waits for the response headers. Throws std::runtime_error when they
    /// do not arrive within \a timeout.
    SseStream(std::uint16_t port, const HttpCall &call,
              std::chrono::milliseconds timeout = defaultTimeout);
    ~SseStream();
    SseStream(const SseStream &) = delete;
    SseStream &operator=(const SseStream &) = delete;

    int status() const;
    /// \brief Value of header \a name; empty when it is missing.
    std::string header(const std::string &name) const;

    /// \brief Waits for the next event. Returns nothing when the stream has ended or \a timeout has
    /// passed; end() is Open only after a timeout, and the stream can be read on.
    std::optional<SseEvent> next(std::chrono::milliseconds timeout = defaultTimeout);
    End end() const;
    /// \brief Body bytes received that form no complete event, such as a problem body.
    const std::string &unparsedText() const;

private:
    struct State;
    std::optional<SseEvent> takeEvent();
    void startRead();
    void onRead(bool failed);

    std::unique_ptr<State> m_state;
};

} // namespace foxtailring::harness
