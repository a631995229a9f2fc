#include "AnswerReader.h"

#include "foxtailring/base/Error.h"
#include "foxtailring/gateway/BackendCodec.h"

#include "ServerAttempt.h"

#include <cstddef>
#include <utility>

namespace foxtailring {

namespace {

// Limits the memory that a faulty server can make this process hold.
constexpr std::size_t maxBufferedAnswerBytes = 16 * 1024 * 1024;

bool isEventStream(const HttpResponse &head)
{
    return head.header("Content-Type").starts_with("text/event-stream");
}

} // namespace

AnswerReader::AnswerReader(const BackendCodec &codec, std::string method, bool isRun)
    : m_codec(codec)
    , m_method(std::move(method))
    , m_isRun(isRun)
{
}

void AnswerReader::readHead(ServerAttempt &attempt, HttpResponse head) const
{
    attempt.hasHead = true;
    attempt.answer = m_codec.decodeAnswer(head);
    attempt.head = std::move(head);
    attempt.isStreaming = m_isRun && attempt.answer.isSuccess() && attempt.answer.isSigned
        && !attempt.answer.isNotRun && isEventStream(attempt.head);
}

bool AnswerReader::readBody(ServerAttempt &attempt, std::string_view bytes)
{
    attempt.body += bytes;
    return attempt.body.size() <= maxBufferedAnswerBytes;
}

std::optional<std::vector<StreamedEvent>> AnswerReader::readEvents(ServerAttempt &attempt,
                                                                   std::string_view bytes)
{
    std::vector<StreamedEvent> events;
    const bool isReadable = attempt.events.feed(bytes, [&events](auto id, std::string_view text) {
        events.push_back({id, std::string(text)});
    });
    if (!isReadable)
        return std::nullopt;
    return events;
}

// A run has an output, so an empty success is not its answer.
bool AnswerReader::isCutShort(const ServerAttempt &attempt) const
{
    if (attempt.isStreaming)
        return attempt.events.hasPartialEvent();
    const BackendAnswer &answer = attempt.answer;
    return m_isRun && answer.status == 200 && !answer.isNotRun && attempt.body.empty()
        && m_method != "HEAD" && m_method != "OPTIONS";
}

AttemptResult AnswerReader::failureOf(const Error &error)
{
    if (error.code == ErrorCode::Unavailable)
        return AttemptResult::NotSent;
    // A server that acknowledges nothing is silent. Only a lost connection proves a crash.
    if (error.code == ErrorCode::Timeout)
        return AttemptResult::Silent;
    return error.code == ErrorCode::Malformed ? AttemptResult::Invalid : AttemptResult::Lost;
}

} // namespace foxtailring
