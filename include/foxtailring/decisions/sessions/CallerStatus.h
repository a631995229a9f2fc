#pragma once

#include <optional>

namespace foxtailring {

/// \brief What is known of a request when its caller is answered.
struct AnswerOrigin
{
    bool wasSent = false;      ///< bytes of the request may have reached a server
    bool isNotRun = false;     ///< every server that it reached has said "not run"
    bool isIdempotent = false; ///< another run has no other effect
    bool hasBegun = false;     ///< a part of the answer was passed on
};

/// \brief True if callers take \a status for "not run, and never will be".
bool promisesNotRun(int status);

/// \brief Status that the caller gets in place of \a status, which a server answered or this
/// process is about to refuse with. None: no status can be sent any more, the answer is cut.
std::optional<int> callerStatus(int status, const AnswerOrigin &origin);

} // namespace foxtailring
