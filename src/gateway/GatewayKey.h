#pragma once

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Keys of the store by which gateways find each other. Each gateway keeps its own key under
/// a lease; the value is that of GatewayListingCodec.
class GatewayKey
{
public:
    /// \brief A gateway's key is this prefix and its node id.
    static constexpr std::string_view prefix = "gateways/";

    static std::string of(std::string_view nodeId) { return std::string(prefix).append(nodeId); }
    static bool matches(std::string_view key) { return key.starts_with(prefix); }
    static std::string nodeIdOf(std::string_view key)
    {
        return std::string(key.substr(prefix.size()));
    }
};

} // namespace foxtailring
