#include "Caller.h"

#include "SseStream.h"
#include "SystemFixture.h"

#include <algorithm>

namespace foxtailring::harness {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Without an event for this long the caller reconnects.
constexpr milliseconds maxSilence {15'000};
// Shorter than Retry-After, so that the tests see more rejections.
constexpr milliseconds reconnectDelay {50};
constexpr int minServerErrorStatus = 500;
constexpr int tooManyRequestsStatus = 429;

milliseconds remainingUntil(steady_clock::time_point end)
{
    const auto remaining = std::chrono::duration_cast<milliseconds>(end - steady_clock::now());
    return std::max(remaining, milliseconds(1));
}

} // namespace

Caller::Caller(SystemFixture &system, CallerOptions options)
    : m_system(system)
    , m_options(std::move(options))
{
}

void Caller::onToken(std::function<void(std::size_t)> hook)
{
    m_onToken = std::move(hook);
}

const Answer &Caller::run()
{
    m_deadline = steady_clock::now() + m_options.timeout;
    while (m_answer.end == Answer::End::Open) {
        const std::size_t index = m_options.firstEntry + m_answer.connections;
        ++m_answer.connections;
        connect(m_system.entry(index % m_system.entryCount()).port);
        if (m_answer.end == Answer::End::Open && steady_clock::now() >= m_deadline)
            m_answer.end = Answer::End::TimedOut;
        waitUntil([this] { return m_answer.end != Answer::End::Open; }, reconnectDelay);
    }
    return m_answer;
}

void Caller::connect(std::uint16_t port)
{
    if (m_options.discardsEventIds)
        m_answer.text.clear();
    const std::string resumeEventId =
        m_options.discardsEventIds ? std::string() : m_answer.lastEventId;
    try {
        SseStream stream(port, makeRequest(m_options, resumeEventId),
                         std::min(maxSilence, remainingUntil(m_deadline)));
        m_answer.status = stream.status();
        read(stream);
    } catch (const std::runtime_error &error) {
        // No connection or no response headers: the next entry is tried.
        m_answer.problem = error.what();
    }
}

HttpCall Caller::makeRequest(const CallerOptions &options, const std::string &lastEventId)
{
    const json body = {{"model", SystemFixture::model},
                       {"prompt", options.prompt},
                       {"max_tokens", options.maxTokens},
                       {"stream", true}};
    HttpCall call {
        "POST",
        "/v1/completions",
        {{"Authorization", "Bearer " + options.apiKey}, {"Content-Type", "application/json"}},
        body.dump()};
    if (!options.idempotencyKey.empty())
        call.headers.push_back({"Idempotency-Key", options.idempotencyKey});
    if (!lastEventId.empty())
        call.headers.push_back({"Last-Event-ID", lastEventId});
    return call;
}

void Caller::read(SseStream &stream)
{
    constexpr int okStatus = 200;
    while (m_answer.end == Answer::End::Open) {
        const auto event = stream.next(std::min(maxSilence, remainingUntil(m_deadline)));
        if (!event)
            break;
        handleEvent(*event);
    }
    if (stream.status() != okStatus)
        return handleRefusal(stream);
    // Reads to the end of the HTTP response: an entry treats a caller that closes before it as
    // disconnected and has the journal kept for 120 s.
    if (m_answer.end != Answer::End::Open) {
        stream.next(maxSilence);
        return;
    }
    ++m_answer.interruptions;
    // Other clients would take a regular end of the HTTP response for a complete answer.
    if (stream.end() == SseStream::End::Finished) {
        m_answer.end = Answer::End::Failed;
        m_answer.problem = "the stream ended without [DONE] or an error";
    }
}

void Caller::handleEvent(const SseEvent &event)
{
    if (!event.id.empty())
        m_answer.lastEventId = event.id;
    if (event.type == "error") {
        m_answer.end = Answer::End::Failed;
        m_answer.problem = event.data;
    } else if (event.data == "[DONE]") {
        m_answer.end = Answer::End::Complete;
    } else if (!event.data.empty()) {
        appendText(event);
    }
}

void Caller::appendText(const SseEvent &event)
{
    const json chunk = json::parse(event.data);
    std::string text;
    for (const json &choice : chunk["choices"])
        text += choice.value("text", "");
    if (text.empty())
        return;
    const auto now = steady_clock::now();
    if (!m_answer.text.empty())
        m_answer.longestGap = std::max(
            m_answer.longestGap, std::chrono::duration_cast<milliseconds>(now - m_lastTokenAt));
    m_lastTokenAt = now;
    m_answer.text += text;
    if (m_onToken)
        m_onToken(m_answer.tokenCount());
}

void Caller::handleRefusal(SseStream &stream)
{
    m_answer.problem = stream.unparsedText();
    m_answer.retryAfter = stream.header("Retry-After");
    const int status = stream.status();
    const bool isTemporary = status == tooManyRequestsStatus || status >= minServerErrorStatus;
    const bool isFinal = m_answer.problem.find("incomplete") != std::string::npos;
    if (isTemporary && !isFinal)
        ++m_answer.refusals;
    else
        m_answer.end = isTemporary ? Answer::End::Failed : Answer::End::Refused;
}

} // namespace foxtailring::harness
