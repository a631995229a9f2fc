#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief A client account and its API keys.
struct KeyedAccount
{
    std::string name;
    std::optional<std::uint32_t> priority; ///< overrides the priority of the route
    std::vector<std::string> keys;
};

} // namespace foxtailring
