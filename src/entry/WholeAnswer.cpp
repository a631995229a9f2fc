#include "WholeAnswer.h"

#include "foxtailring/entry/Problem.h"
#include "foxtailring/protocol/ResumeToken.h"
#include "foxtailring/transport/Http1Responder.h"

namespace foxtailring {

WholeAnswer::WholeAnswer(std::shared_ptr<Http1Responder> responder, AnswerOptions options)
    : m_responder(std::move(responder))
    , m_options(std::move(options))
{
}

void WholeAnswer::write(const ResumeToken &, std::span<const Token> tokens)
{
    for (const Token &token : tokens)
        m_text += token.text;
}

void WholeAnswer::complete(std::string_view reason, const ResumeToken &position)
{
    m_responder->respond(
        {200,
         {{"Content-Type", "application/json"}, {"traceparent", m_options.traceparent}},
         m_options.shape.whole(m_text, reason, position.nextOffset)});
}

void WholeAnswer::fail(const Problem &problem)
{
    m_responder->respond(problem.response());
}

void WholeAnswer::handOver(const ResumeToken &)
{
    fail({{ErrorCode::Draining, "this entry stops before the answer is complete"},
          std::string(Problem::incomplete),
          std::chrono::seconds(1)});
}

} // namespace foxtailring
