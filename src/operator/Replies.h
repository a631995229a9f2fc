#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpResponse.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace foxtailring {

HttpResponse jsonReply(int status, const nlohmann::json &body);

/// \brief RFC 9457 problem body for \a error; without \a status the error code decides it. Adds
/// `Retry-After` to 503 and 504.
HttpResponse problemReply(const Error &error);
HttpResponse problemReply(const Error &error, int status);

} // namespace foxtailring
