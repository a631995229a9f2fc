#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/generation/AttemptId.h"
#include "foxtailring/protocol/StartAttempt.h"
#include "foxtailring/sidecar/CompletionReader.h"
#include "foxtailring/sidecar/SidecarContext.h"
#include "foxtailring/sidecar/Span.h"
#include "foxtailring/transport/HttpRequest.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace foxtailring {

class GenerationListener;
class Http1Stream;
class Journal;
class MessageStream;
class WorkTicket;
struct Ack;
struct Frame;
struct HttpResponse;

/// \brief One attempt at this sidecar's engine. Thread-safe.
///
/// It is driven by the engine's stream and outlives the streams of entries that follow it.
class Generation : public std::enable_shared_from_this<Generation>
{
public:
    struct Work
    {
        HttpRequest request;                ///< for the engine
        std::shared_ptr<WorkTicket> ticket; ///< held until the attempt ends
        Span span;                          ///< finished with the attempt
    };

    Generation(const SidecarContext &context, std::shared_ptr<Journal> journal,
               const StartAttempt &start, Work work);
    ~Generation();
    Generation(const Generation &) = delete;
    Generation &operator=(const Generation &) = delete;

    const AttemptId &id() const { return m_id; }
    bool hasEnded() const;

    /// \brief Passes the attempt to the engine.
    void run();
    /// \brief Ends the answer without asking the engine.
    void finish(const std::string &reason);
    /// \brief Follows the attempt on \a stream until that is closed.
    void attach(const std::shared_ptr<MessageStream> &stream, std::uint64_t fromOffset);
    /// \brief Ends the attempt, unless it has ended, and closes the engine's stream.
    void stop(ErrorCode code, const std::string &message);

    /// \brief Cuts stuck listeners; ends an attempt past its deadline or without listeners.
    void tick(TimePoint now);
    /// \brief No token came since \a since, so the engine's health matters.
    bool isQuietSince(TimePoint since) const;
    /// \brief The engine answered a probe: sends Progress.
    void reportProgress(bool engineHasQueue);

private:
    using Listeners = std::vector<std::shared_ptr<GenerationListener>>;

    void engineHead(const HttpResponse &head);
    void engineBytes(std::string_view bytes);
    void engineClosed(const Result<Done> &result);
    void takeChunk(const CompletionChunk &chunk);
    void end(bool finished, ErrorCode code, const std::string &reason);
    void takeFrame(const std::shared_ptr<GenerationListener> &listener, const Frame &frame);
    void acknowledge(GenerationListener &listener, const Ack &ack);
    void cancel(const std::shared_ptr<GenerationListener> &listener, const std::string &reason);
    void detach(const std::shared_ptr<GenerationListener> &listener);
    Listeners listeners() const;
    void pumpAll();

    const SidecarContext m_context;
    const std::shared_ptr<Journal> m_journal;
    const AttemptId m_id;
    const TimePoint m_startedAt;
    const TimePoint m_deadline; ///< TimePoint::max() when there is none

    // Used by the hooks of the engine's stream only, which never run concurrently.
    CompletionReader m_reader;
    int m_engineStatus = 0;
    std::string m_errorBody;

    mutable std::mutex m_mutex; // guards all below
    Work m_work;
    std::shared_ptr<Http1Stream> m_engine;
    Listeners m_listeners;
    TimePoint m_detachedAt; ///< meaningful without listeners
    TimePoint m_lastToken;  ///< or the start
    bool m_hasToken = false;
    bool m_ended = false;
};

} // namespace foxtailring
