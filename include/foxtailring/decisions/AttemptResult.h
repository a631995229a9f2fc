#pragma once

#include <cstdint>
#include <string_view>

namespace foxtailring {

/// \brief How an attempt at a backend server ended without an answer to pass on.
enum class AttemptResult : std::uint8_t {
    NotSent,     ///< no connection was made, so nothing ran
    NotRun,      ///< the server said that it did not run the request
    OtherServer, ///< the address belongs to another server, which did not run the request
    Lost,        ///< the connection ended or the answer was spoiled; the request may have run
    Silent,      ///< nothing arrived for too long; the request may have run
};

/// \brief Name of \a result for log lines and counters.
constexpr std::string_view attemptResultName(AttemptResult result)
{
    switch (result) {
    case AttemptResult::NotSent:
        return "notSent";
    case AttemptResult::NotRun:
        return "notRun";
    case AttemptResult::OtherServer:
        return "otherServer";
    case AttemptResult::Lost:
        return "lost";
    case AttemptResult::Silent:
        return "silent";
    }
    return "unknown";
}

/// \brief Whether the request may have run in an attempt that ended like this.
constexpr bool mayHaveRun(AttemptResult result)
{
    return result == AttemptResult::Lost || result == AttemptResult::Silent;
}

} // namespace foxtailring
