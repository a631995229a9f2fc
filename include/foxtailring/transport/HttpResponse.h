#pragma once

#include "foxtailring/protocol/HttpHeader.h"

#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief An HTTP response with its body.
struct HttpResponse
{
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;

    /// \brief Value of the first header called \a name, ignoring case; empty if there is none.
    std::string_view header(std::string_view name) const;
};

} // namespace foxtailring
