#include "foxtailring/decisions/sessions/CallerStatus.h"

#include <algorithm>
#include <array>

namespace foxtailring {

namespace {

constexpr int badRequest = 400;
constexpr int badGateway = 502;
constexpr std::array promises {badRequest, 408, 421, 429, 503};

} // namespace

bool promisesNotRun(int status)
{
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

// A promise that is not known to be true becomes 502, which promises nothing. The 400 of a request
// that may run again is passed on: it is the server's verdict on the request, and nothing is lost
// if the request has run.
std::optional<int> callerStatus(int status, const AnswerOrigin &origin)
{
    if (origin.hasBegun)
        return std::nullopt;
    const bool mayHaveRun = origin.wasSent && !origin.isNotRun;
    const bool isVerdict = status == badRequest && origin.isIdempotent;
    return mayHaveRun && promisesNotRun(status) && !isVerdict ? badGateway : status;
}

} // namespace foxtailring
