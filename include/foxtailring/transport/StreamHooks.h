#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpResponse.h"

#include <functional>
#include <string_view>

namespace foxtailring {

/// \brief What happens on a streamed HTTP/1.1 response; the hooks never run concurrently.
struct StreamHooks
{
    std::function<void(const HttpResponse &)> onHead; ///< status and headers, body empty
    std::function<void(std::string_view)> onBody;     ///< bytes as they arrive
    std::function<void(Result<Done>)> onClosed; ///< runs exactly once; ok after the last chunk
    /// Whether a response belongs to this request; one that does not is read over, and the next one
    /// is awaited. A server may send an extra response late. Optional; all are taken without it.
    std::function<bool(const HttpResponse &)> matchesRequest {};
};

} // namespace foxtailring
