#pragma once

#include "HttpClient.h"
#include "TimedConnection.h"

namespace foxtailring::harness {

/// \brief \a call as a message of Boost.Beast.
TimedConnection::Request beastRequest(const HttpCall &call);

} // namespace foxtailring::harness
