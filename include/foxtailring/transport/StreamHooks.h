#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/transport/HttpResponse.h"

#include <functional>
#include <string_view>

namespace foxtailring {

/// \brief Callbacks for a streamed HTTP/1.1 response; they never run concurrently.
struct StreamHooks
{
    /// Gets status and headers; the body is empty.
    std::function<void(const HttpResponse &)> onHead;
    /// Gets the bytes of the body as they arrive.
    std::function<void(std::string_view)> onBody;
    /// Runs exactly once; gets Done after a complete response.
    std::function<void(Result<Done>)> onClosed;
    /// Returns whether a response belongs to this request; one that does not is skipped, and the
    /// next one is awaited. A faulty server may send a second response late. Optional: without it,
    /// every response belongs to the request.
    /// \param isFirstResponse no response came on this connection before
    std::function<bool(const HttpResponse &, bool isFirstResponse)> matchesRequest {};
    /// Returns whether another request may use the connection after this response. Optional:
    /// without it, every kept-alive connection is reused.
    std::function<bool(const HttpResponse &)> allowsReuse {};
};

} // namespace foxtailring
