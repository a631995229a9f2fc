#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpResponse.h"

#include <functional>
#include <string_view>

namespace foxtailring {

/// \brief What happens on a streamed HTTP/1.1 response; the hooks never run concurrently.
struct StreamHooks
{
    std::function<void(const HttpResponse &)> head; ///< status and headers, body empty
    std::function<void(std::string_view)> body;     ///< bytes as they arrive
    std::function<void(Result<Done>)> closed;       ///< runs exactly once; ok after the last chunk
};

} // namespace foxtailring
