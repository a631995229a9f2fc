#pragma once

#include "foxtailring/entry/AnswerWriter.h"

#include "AnswerOptions.h"

#include <memory>
#include <string>

namespace foxtailring {

class Http1Responder;

/// \brief Collects an answer and sends it in one JSON body.
class WholeAnswer : public AnswerWriter
{
public:
    WholeAnswer(std::shared_ptr<Http1Responder> responder, AnswerOptions options);

    void write(const ResumeToken &position, std::span<const Token> tokens) override;
    void complete(std::string_view reason, const ResumeToken &position) override;
    void fail(const Problem &problem) override;
    void handOver(const ResumeToken &position) override;

private:
    std::shared_ptr<Http1Responder> m_responder;
    AnswerOptions m_options;
    std::string m_text;
};

} // namespace foxtailring
