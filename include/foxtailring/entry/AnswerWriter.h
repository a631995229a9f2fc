#pragma once

#include "foxtailring/protocol/Token.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace foxtailring {

struct Problem;
struct ResumeToken;

/// \brief Writes one answer to its caller. Not thread-safe.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    /// \param position place in the answer after \a tokens
    virtual void write(const ResumeToken &position, std::span<const Token> tokens) = 0;
    virtual void complete(std::string_view reason, const ResumeToken &position) = 0;
    virtual void fail(const Problem &problem) = 0;
    /// \brief Ends the connection so that the caller comes back through another entry.
    virtual void handOver(const ResumeToken &position) = 0;
};

} // namespace foxtailring
