#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpResponse.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace foxtailring {

HttpResponse jsonReply(int status, const nlohmann::json &body);

/// \brief Problem body for \a error, with the status that fits its code.
HttpResponse problemReply(const Error &error);
HttpResponse problemReply(const Error &error, int status);

} // namespace foxtailring
