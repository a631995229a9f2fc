#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief A client account and the keys that stand for it.
struct KeyedAccount
{
    std::string name;
    std::optional<std::uint32_t> priority; ///< takes precedence over that of the route
    std::vector<std::string> keys;
};

} // namespace foxtailring
