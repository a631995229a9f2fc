#pragma once

#include "HttpClient.h"
#include "TimedConnection.h"

namespace foxtailring::harness {

/// \brief Converts \a call to a Boost.Beast request to 127.0.0.1.
TimedConnection::Request beastRequest(const HttpCall &call);

} // namespace foxtailring::harness
