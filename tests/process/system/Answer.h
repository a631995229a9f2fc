#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace foxtailring::harness {

/// \brief What a caller has received of a streamed answer, over all its connections.
struct Answer
{
    enum class End {
        Open,     ///< not ended yet
        Complete, ///< the end of the answer arrived
        Failed,   ///< ended with an error, after part of the answer or instead of it
        Refused,  ///< rejected with a status that a retry does not change
        TimedOut, ///< the caller's timeout has passed
    };

    std::string text;
    std::string lastEventId;
    End end = End::Open;
    int status = 0;                           ///< of the last response
    std::string problem;                      ///< problem JSON of a failure or rejection
    std::string retryAfter;                   ///< header of the last rejection
    std::size_t connections = 0;              ///< number of attempts to connect
    std::size_t refusals = 0;                 ///< rejections that may be retried
    std::size_t interruptions = 0;            ///< connections that ended within the answer
    std::chrono::milliseconds longestGap {0}; ///< between two tokens

    std::size_t tokenCount() const;
    /// \brief Tag of the generation that the first token belongs to; empty before the first token.
    std::string generationTag() const;
    /// \brief Describes the first token that is out of sequence. Nothing when the tokens so far are
    /// the first ones of one generation, each once and in order.
    std::optional<std::string> tokenSequenceError() const;
    /// \brief Error unless the answer is complete and has \a count tokens of one generation.
    std::optional<std::string> errorUnlessComplete(std::size_t count) const;
    /// \brief Error unless the answer is complete and came over one connection.
    std::optional<std::string> errorUnlessUninterrupted(std::size_t count) const;
    /// \brief Error unless the answer is complete, or a correct prefix followed by an error that
    /// says `answer_incomplete`.
    std::optional<std::string> errorUnlessTruthful(std::size_t count) const;
};

} // namespace foxtailring::harness
