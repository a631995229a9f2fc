#pragma once

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Selects the calls of a service that must not be executed more than once.
struct NonIdempotentRule
{
    std::string method;     ///< HTTP method; `*` matches all
    std::string pathPrefix; ///< prefix of the path at the backend server, with the leading slash

    bool matches(std::string_view callMethod, std::string_view path) const
    {
        return (method == "*" || method == callMethod) && path.starts_with(pathPrefix);
    }
};

} // namespace foxtailring
