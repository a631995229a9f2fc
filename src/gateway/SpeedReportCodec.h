#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/servers/SpeedReport.h"

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief JSON form of the reports on the speed of engines that gateways exchange through the
/// store: an object of services, each an object of addresses with the typical time between two
/// events in microseconds, and the number of runs.
class SpeedReportCodec
{
public:
    /// \brief A gateway's key in the store is this prefix and its node id.
    static constexpr std::string_view keyPrefix = "engine-speeds/";

    static std::string encode(const SpeedReport &report);
    /// \brief Malformed: not a report.
    static Result<SpeedReport> decode(std::string_view text);
};

} // namespace foxtailring
