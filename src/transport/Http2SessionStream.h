#pragma once

#include "foxtailring/transport/Http2Stream.h"
#include "Net.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

class Http2Session;

/// \brief A stream of an Http2Session, on either side.
///
/// The functions of Http2Stream post to the strand of the session. All state is used on that
/// strand, except m_pendingBytes, which is atomic.
class Http2SessionStream : public Http2Stream,
                           public std::enable_shared_from_this<Http2SessionStream>
{
public:
    Http2SessionStream(std::weak_ptr<Http2Session> session, Strand strand);

    std::string_view path() const override { return m_path; }
    std::span<const HttpHeader> headers() const override { return m_headers; }
    void onData(std::function<void(std::string_view)> hook) override;
    void onEnd(std::function<void()> hook) override;
    void onClosed(std::function<void(Result<Done>)> hook) override;
    void send(std::string bytes) override;
    void finish() override;
    void reset() override;
    std::size_t pendingBytes() const override { return m_pendingBytes; }

    // Called before the stream is passed to its user.
    void setPath(std::string path) { m_path = std::move(path); }
    void setHeaders(std::vector<HttpHeader> headers) { m_headers = std::move(headers); }
    /// \brief Returns false when the headers exceed 64 KiB in total.
    bool addHeader(std::string_view name, std::string_view value);

    // On the strand, called by the session.
    std::int32_t id() const { return m_id; }
    void setId(std::int32_t id) { m_id = id; }
    bool isHeadSent() const { return m_headSent; }
    void setHeadSent() { m_headSent = true; }
    bool hasEndedBothWays() const { return m_localEnded && m_remoteEnded; }
    /// \brief Returns true if the data hook got \a bytes; otherwise they are buffered.
    bool deliverData(std::string_view bytes);
    void onRemoteEnd();
    void onStreamClosed(Result<Done> result);
    /// \brief Moves bytes to send into \a buffer and returns their number; sets \a isLast when no
    /// more follow.
    std::size_t takeOutput(std::span<std::uint8_t> buffer, bool &isLast);
    /// \brief Destroys all hooks without running them.
    void dropHooks();

private:
    template <typename Action>
    void post(Action action);
    void queue(std::string_view bytes);
    void finishNow();
    void notifyOutputReady();
    void runHooks();
    void runDataHook();
    void runEndHook();
    void runClosedHook();
    void dropFinishedHooks();
    void discardOutput();

    const std::weak_ptr<Http2Session> m_session;
    const Strand m_strand;
    std::string m_path;
    std::vector<HttpHeader> m_headers;
    std::size_t m_headerBytes = 0;
    std::int32_t m_id = 0;
    std::atomic<std::size_t> m_pendingBytes = 0;

    std::string m_output;
    std::size_t m_outputOffset = 0; ///< bytes of m_output already in frames
    bool m_headSent = false;
    bool m_finishing = false;
    bool m_localEnded = false;

    std::string m_undelivered; ///< received before the data hook was set
    bool m_remoteEnded = false;
    std::optional<Result<Done>> m_result;
    bool m_closedHookRan = false;
    std::function<void(std::string_view)> m_dataHook;
    std::function<void()> m_endHook;
    std::function<void(Result<Done>)> m_closedHook;
};

} // namespace foxtailring
