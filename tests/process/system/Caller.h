#pragma once

#include "Answer.h"
#include "CallerOptions.h"

#include <cstdint>
#include <functional>

namespace foxtailring {
struct HttpHeader;
}

namespace foxtailring::harness {

class SseStream;
class SystemFixture;
struct HttpCall;
struct SseEvent;

/// \brief Streams one answer. After a lost connection or a rejection that may be retried it resumes
/// through the next entry, as a well-behaved caller does.
class Caller
{
public:
    Caller(SystemFixture &system, CallerOptions options);

    /// \brief Sets a hook that runs for each event with text and gets the number of tokens so far.
    void onToken(std::function<void(std::size_t)> hook);
    /// \brief Streams until the answer has ended. Blocks.
    const Answer &run();
    const Answer &answer() const { return m_answer; }
    /// \brief Request for the answer after the event \a lastEventId; from its start when that is
    /// empty.
    static HttpCall makeRequest(const CallerOptions &options, const std::string &lastEventId);

private:
    void connect(std::uint16_t port);
    void read(SseStream &stream);
    void handleEvent(const SseEvent &event);
    void appendText(const SseEvent &event);
    void handleRefusal(SseStream &stream);

    SystemFixture &m_system;
    CallerOptions m_options;
    Answer m_answer;
    std::chrono::steady_clock::time_point m_deadline;
    std::chrono::steady_clock::time_point m_lastTokenAt;
    std::function<void(std::size_t)> m_onToken;
};

} // namespace foxtailring::harness
