#pragma once

#include "foxtailring/transport/HttpLimits.h"
#include "foxtailring/transport/HttpResponse.h"
#include "Net.h"

#include <chrono>

namespace foxtailring {

/// \brief Response to a request that cannot be read because of \a status.
HttpResponse unreadableRequestResponse(ErrorStatus status, const HttpLimits &limits);
/// \brief Response to a request whose head took longer than \a limit.
HttpResponse lateHeadResponse(std::chrono::milliseconds limit);
/// \brief Response to a request whose body took longer than \a limit.
HttpResponse lateBodyResponse(std::chrono::milliseconds limit);
/// \brief Response to a request of whose body no part arrived for \a limit.
HttpResponse stalledBodyResponse(std::chrono::milliseconds limit);
/// \brief Response of a process that is about to end: the caller may return at once.
HttpResponse unavailableResponse();

} // namespace foxtailring
