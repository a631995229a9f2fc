#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpRequest.h"

#include <string_view>

namespace foxtailring {

struct StartAttempt;

/// \brief The engine's `POST /v1/completions` for an attempt.
///
/// InvalidArgument when the sampling parameters are not a JSON object or a text is not UTF-8.
Result<HttpRequest> engineRequest(const StartAttempt &start, std::string_view traceparent);

} // namespace foxtailring
