#pragma once

#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/transport/HttpResponse.h"

#include <string_view>

namespace foxtailring {

/// \brief Problem document (`application/problem+json`) with the cause; `Retry-After` in seconds if
/// the refusal has a delay.
HttpResponse refusalResponse(std::string_view requestId, const Refuse &refusal);

} // namespace foxtailring
