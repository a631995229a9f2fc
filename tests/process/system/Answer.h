#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace foxtailring::harness {

/// \brief What a caller has of a streamed answer, over all its connections.
struct Answer
{
    enum class End {
        Open,     ///< no end yet
        Complete, ///< the end of the answer arrived
        Failed,   ///< the last word is an error, after part of the answer or in its place
        Refused,  ///< the request cannot be served, whatever the caller does
        TimedOut, ///< the caller's patience has ended
    };

    std::string text;
    std::string lastEventId;
    End end = End::Open;
    int status = 0;                           ///< of the last connection that was answered
    std::string problem;                      ///< problem JSON of a failure or refusal
    std::string retryAfter;                   ///< header of the last refusal
    std::size_t connections = 0;              ///< that were tried
    std::size_t refusals = 0;                 ///< with the advice to come back
    std::size_t interruptions = 0;            ///< connections that ended within the answer
    std::chrono::milliseconds longestGap {0}; ///< between two tokens

    /// \brief Number of tokens so far.
    std::size_t tokenCount() const;
    /// \brief Generation that the first token belongs to; empty without a token.
    std::string generationTag() const;
    /// \brief Nothing when the tokens so far are the first ones of one generation, each once and in
    /// order; else what is wrong.
    std::optional<std::string> tokenSequenceError() const;
    /// \brief Nothing when the answer is whole and has \a count tokens of one generation.
    std::optional<std::string> errorUnlessComplete(std::size_t count) const;
    /// \brief Nothing when the answer is whole and came over one connection.
    std::optional<std::string> errorUnlessUninterrupted(std::size_t count) const;
    /// \brief Nothing when the answer is whole, or a failure that says `answer_incomplete`.
    std::optional<std::string> errorUnlessTruthful(std::size_t count) const;
};

} // namespace foxtailring::harness
