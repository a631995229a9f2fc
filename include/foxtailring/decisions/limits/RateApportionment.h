#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace foxtailring {

/// \brief Divides a whole number of requests among processes in proportion to their demand.
///
/// Every process that divides the same demands gets the same shares, and the shares add up to the
/// total. Rounding is by largest remainder; ties are broken by a hash of key and process, so that
/// they favour different processes at different servers.
class RateApportionment
{
public:
    struct Sharer
    {
        std::string_view id;
        double demand = 0;
    };

    /// \brief Share of \a id; 0 if it is not among \a sharers.
    static std::uint32_t shareOf(std::string_view id, std::uint32_t total, std::string_view key,
                                 std::span<const Sharer> sharers);
};

} // namespace foxtailring
