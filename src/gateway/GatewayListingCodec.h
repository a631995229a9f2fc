#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Value of a gateway's own key (GatewayKey), as JSON: its demand for connections
/// (IdleConnectionDivision) and the epoch of the store that it knows to be settled (EpochAge).
class GatewayListingCodec
{
public:
    /// \brief Empty without a demand and an epoch, as older versions write it.
    static std::string encode(std::optional<int> demand,
                              std::optional<std::int64_t> settledEpoch = std::nullopt);
    /// \brief The demand; none if \a text is empty, unreadable or out of range.
    static std::optional<int> decode(std::string_view text);
    /// \brief None if \a text is empty, unreadable, of an older version or out of range.
    static std::optional<std::int64_t> decodeSettledEpoch(std::string_view text);
};

} // namespace foxtailring
