#pragma once

#include "foxtailring/decisions/ForwardAction.h"
#include "foxtailring/transport/HttpResponse.h"

#include <string_view>

namespace foxtailring {

/// \brief The answer that tells a caller why its request was not served, and when to come back.
HttpResponse refusalResponse(std::string_view requestId, const Refuse &refusal);

} // namespace foxtailring
