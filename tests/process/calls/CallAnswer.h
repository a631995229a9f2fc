#pragma once

#include <cstdint>
#include <string>

namespace foxtailring::harness {

/// \brief What a caller was told about one call.
struct CallAnswer
{
    enum class Outcome : std::uint8_t {
        Done,    ///< the service's own answer
        NotRun,  ///< guaranteed not to have run
        Unknown, ///< may have run
        Lost,    ///< no answer at all
    };

    Outcome outcome = Outcome::Lost;
    int status = 0;
    std::string retryAfter; ///< header
    std::string body;

    bool isDone() const { return outcome == Outcome::Done; }
    bool isNotRun() const { return outcome == Outcome::NotRun; }
    /// \brief True when the caller can't know whether the call has run.
    bool isUncertain() const { return !isDone() && !isNotRun(); }
    std::string toString() const
    {
        return "outcome " + std::to_string(static_cast<int>(outcome)) + ", status "
            + std::to_string(status) + ", " + body;
    }
};

} // namespace foxtailring::harness
