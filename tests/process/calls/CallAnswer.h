#pragma once

#include <cstdint>
#include <string>

namespace foxtailring::harness {

/// \brief Response to one call as the caller sees it.
struct CallAnswer
{
    enum class Outcome : std::uint8_t {
        Done,    ///< the service's own response
        NotRun,  ///< guaranteed not to have run
        Unknown, ///< may have run
        Lost,    ///< no response
    };

    Outcome outcome = Outcome::Lost;
    int status = 0;
    std::string retryAfter; ///< header
    std::string body;

    bool isDone() const { return outcome == Outcome::Done; }
    bool isNotRun() const { return outcome == Outcome::NotRun; }
    /// \brief True when the caller cannot know whether the call has run.
    bool isUncertain() const { return !isDone() && !isNotRun(); }
    std::string toString() const
    {
        return "outcome " + std::to_string(static_cast<int>(outcome)) + ", status "
            + std::to_string(status) + ", " + body;
    }
};

} // namespace foxtailring::harness
