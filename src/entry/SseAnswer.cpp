#include "SseAnswer.h"

#include "foxtailring/entry/Problem.h"
#include "foxtailring/protocol/ResumeToken.h"
#include "foxtailring/transport/Http1Responder.h"

namespace foxtailring {

namespace {

std::string idField(const ResumeToken &position, std::string_view secret)
{
    return "id: " + position.sign(secret) + '\n';
}

} // namespace

SseAnswer::SseAnswer(std::shared_ptr<Http1Responder> responder, AnswerOptions options)
    : m_responder(std::move(responder))
    , m_options(std::move(options))
{
}

// The head waits for the first token, so that a refusal can still be told by the status.
void SseAnswer::start()
{
    if (m_started)
        return;
    m_started = true;
    m_responder->startStream(200,
                             {{"Content-Type", "text/event-stream"},
                              {"Cache-Control", "no-store"},
                              {"traceparent", m_options.traceparent}});
}

void SseAnswer::write(const ResumeToken &position, std::span<const Token> tokens)
{
    const std::uint64_t offset = position.nextOffset - tokens.size();
    if (offset > 0 && !m_started)
        m_namesRole = false;
    if (const auto piece = m_text.add(offset, tokens))
        writePiece(position, *piece);
}

void SseAnswer::writePiece(const ResumeToken &position, const TokenText::Piece &piece)
{
    start();
    ResumeToken after = position;
    after.nextOffset = piece.nextOffset;
    writeEvent(after, m_options.shape.chunk(piece.text, std::exchange(m_namesRole, false)));
}

void SseAnswer::writeEvent(const ResumeToken &position, std::string_view data)
{
    std::string event = idField(position, m_options.secret);
    event += "data: ";
    event += data;
    event += "\n\n";
    m_responder->write(std::move(event));
}

void SseAnswer::complete(std::string_view reason, const ResumeToken &position)
{
    if (const auto piece = m_text.flush())
        writePiece(position, *piece);
    start();
    writeEvent(position, m_options.shape.lastChunk(reason));
    if (m_options.includeUsage)
        writeEvent(position, m_options.shape.usageChunk(position.nextOffset));
    m_responder->write("data: [DONE]\n\n");
    m_responder->finish();
}

void SseAnswer::fail(const Problem &problem)
{
    if (!m_started) {
        m_responder->respond(problem.response());
        return;
    }
    m_responder->write("event: error\ndata: {\"error\":" + problem.json() + "}\n\n");
    m_responder->finish();
}

void SseAnswer::handOver(const ResumeToken &position)
{
    if (const auto piece = m_text.flush())
        writePiece(position, *piece);
    start();
    m_responder->write("retry: 0\n" + idField(position, m_options.secret) + '\n');
    // A regular end would look like a complete answer to a caller that ignores the token.
    m_responder->abort();
}

} // namespace foxtailring
