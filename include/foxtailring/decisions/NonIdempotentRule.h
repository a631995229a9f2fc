#pragma once

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Calls of a plain service that must not be sent more than once.
struct NonIdempotentRule
{
    std::string method;     ///< HTTP method; `*` stands for every method
    std::string pathPrefix; ///< path at the backend server, from its first slash

    bool matches(std::string_view callMethod, std::string_view path) const
    {
        return (method == "*" || method == callMethod) && path.starts_with(pathPrefix);
    }
};

} // namespace foxtailring
