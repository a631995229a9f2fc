#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief What a configuration is checked against; what is not known is not checked.
struct ConfigSurroundings
{
    /// Memory of the smallest gateway.
    std::optional<std::size_t> gatewayMemoryBytes;
    /// Backend servers by service, as listed; none: the list is not known.
    std::optional<std::map<std::string, std::size_t, std::less<>>> serverCounts;
};

} // namespace foxtailring
