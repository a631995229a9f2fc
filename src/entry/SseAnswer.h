#pragma once

#include "foxtailring/entry/AnswerWriter.h"
#include "foxtailring/entry/TokenText.h"

#include "AnswerOptions.h"

#include <memory>
#include <string>

namespace foxtailring {

class Http1Responder;

/// \brief Streams an answer as server-sent events; the id of each one is a resume token.
class SseAnswer : public AnswerWriter
{
public:
    SseAnswer(std::shared_ptr<Http1Responder> responder, AnswerOptions options);

    void write(const ResumeToken &position, std::span<const Token> tokens) override;
    void complete(std::string_view reason, const ResumeToken &position) override;
    void fail(const Problem &problem) override;
    void handOver(const ResumeToken &position) override;

private:
    void start();
    void writePiece(const ResumeToken &position, const TokenText::Piece &piece);
    void writeEvent(const ResumeToken &position, std::string_view data);

    std::shared_ptr<Http1Responder> m_responder;
    AnswerOptions m_options;
    TokenText m_text;
    bool m_started = false;
    bool m_namesRole = true; ///< the next chunk is the first one of the answer
};

} // namespace foxtailring
