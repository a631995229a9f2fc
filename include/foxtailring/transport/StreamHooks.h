#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpResponse.h"

#include <functional>
#include <string_view>

namespace foxtailring {

/// \brief Callbacks for a streamed HTTP/1.1 response; they never run concurrently.
struct StreamHooks
{
    std::function<void(const HttpResponse &)>
        onHead;                                   ///< gets status and headers; the body is empty
    std::function<void(std::string_view)> onBody; ///< body bytes as they arrive
    std::function<void(Result<Done>)>
        onClosed; ///< runs exactly once; Done after a complete response
    /// Returns whether a response belongs to this request; one that does not is skipped, and the
    /// next one is awaited. A faulty server may send a second response late. Optional: without it,
    /// every response belongs to the request.
    std::function<bool(const HttpResponse &)> matchesRequest {};
};

} // namespace foxtailring
