#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Value of a gateway's own key (GatewayKey): its demand for connections
/// (IdleConnectionDivision), as JSON.
class GatewayListingCodec
{
public:
    /// \brief Empty without a demand, as older versions write it.
    static std::string encode(std::optional<int> demand);
    /// \brief None if \a text is empty, unreadable or out of range.
    static std::optional<int> decode(std::string_view text);
};

} // namespace foxtailring
