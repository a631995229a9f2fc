#pragma once

#include "HttpClient.h"
#include "SseEvent.h"

#include <memory>
#include <optional>
#include <string>

namespace foxtailring::harness {

/// \brief Client side of a streamed answer. Destroying it closes the connection.
class SseStream
{
public:
    enum class End {
        Open,     ///< more may come
        Finished, ///< the answer is whole at the HTTP level
        Broken,   ///< the connection ended before the answer did
    };

    /// \brief Sends \a call and waits for the head of the answer. Throws std::runtime_error when
    /// none comes within \a timeout.
    SseStream(std::uint16_t port, const HttpCall &call,
              std::chrono::milliseconds timeout = defaultTimeout);
    ~SseStream();
    SseStream(const SseStream &) = delete;
    SseStream &operator=(const SseStream &) = delete;

    int status() const;
    /// \brief Value of header \a name; empty when it is missing.
    std::string header(const std::string &name) const;

    /// \brief The next event; nothing when the stream has ended or none comes within \a timeout,
    /// which end() tells apart. The stream stays usable after a timeout.
    std::optional<SseEvent> next(std::chrono::milliseconds timeout = defaultTimeout);
    End end() const;
    /// \brief Body bytes that form no whole event, such as a problem body.
    const std::string &unparsedText() const;

private:
    struct State;
    std::optional<SseEvent> takeEvent();
    void startRead();
    void onRead(bool failed);

    std::unique_ptr<State> m_state;
};

} // namespace foxtailring::harness
