#pragma once

#include "foxtailring/protocol/HttpHeader.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

class RequestMemory;

/// \brief An HTTP request with its body.
struct HttpRequest
{
    std::string method;
    std::string target; ///< path and query
    std::vector<HttpHeader> headers;
    std::string body;
    /// Counts what the request holds; null: not limited. See Http1Server::limitMemory().
    std::shared_ptr<RequestMemory> memory = nullptr;

    /// \brief Value of the first header called \a name, ignoring case; empty if there is none.
    std::string_view header(std::string_view name) const;
};

} // namespace foxtailring
