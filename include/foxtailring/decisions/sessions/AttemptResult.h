#pragma once

#include <cstdint>
#include <string_view>

namespace foxtailring {

/// \brief Why an attempt at a backend server produced no answer that can be passed on.
enum class AttemptResult : std::uint8_t {
    NotSent,     ///< no byte was sent; the request was not executed
    NotRun,      ///< the server reported that it did not execute the request
    OtherServer, ///< another server has the address now and did not execute the request
    Lost,        ///< connection lost; the request may have been executed
    Invalid,     ///< answer not valid or too large; the request may have been executed
    Silent,      ///< no data within the allowed time; the request may have been executed
};

/// \brief The name that logs and metrics use.
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
    case AttemptResult::Invalid:
        return "invalid";
    case AttemptResult::Silent:
        return "silent";
    }
    return "unknown";
}

/// \brief True if the server may have executed the request.
constexpr bool mayHaveRun(AttemptResult result)
{
    return result == AttemptResult::Lost || result == AttemptResult::Invalid
        || result == AttemptResult::Silent;
}

} // namespace foxtailring
