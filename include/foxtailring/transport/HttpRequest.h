#pragma once

#include "foxtailring/protocol/HttpHeader.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief A whole HTTP request.
struct HttpRequest
{
    std::string method;
    std::string target; ///< path and query
    std::vector<HttpHeader> headers;
    std::string body;

    /// \brief Value of the first header of that name, compared without case; empty when absent.
    std::string_view header(std::string_view name) const;
};

} // namespace foxtailring
