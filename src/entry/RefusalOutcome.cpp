#include "RefusalOutcome.h"

#include "foxtailring/entry/Problem.h"
#include "foxtailring/transport/HttpRequest.h"

#include "CallPort.h"

namespace foxtailring {

std::string_view refusalOutcome(const HttpRequest &request)
{
    const bool isCall = request.target.starts_with(CallPort::prefix);
    const bool isRead = request.method == "GET" || request.method == "HEAD";
    const bool isKeyed = isCall && !isRead && !request.header("Idempotency-Key").empty();
    return isKeyed ? Problem::unknown : Problem::notRun;
}

} // namespace foxtailring
