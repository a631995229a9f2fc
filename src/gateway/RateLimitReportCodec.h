#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/limits/RateLimitReport.h"

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief JSON form of the reports that gateways exchange through the store: an object of servers,
/// each with its limit and the gateway's demand, in requests per second.
class RateLimitReportCodec
{
public:
    /// \brief A gateway's key in the store is this prefix and its node id.
    static constexpr std::string_view keyPrefix = "rate-limits/";

    static std::string encode(const RateLimitReport &report);
    /// \brief Malformed: not a report.
    static Result<RateLimitReport> decode(std::string_view text);
};

} // namespace foxtailring
