#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/quarantine/CrashReport.h"

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief JSON form of the reports on crashes and prompt parts that gateways exchange through the
/// store.
class CrashReportCodec
{
public:
    /// \brief A gateway's key in the store is this prefix and its node id.
    static constexpr std::string_view keyPrefix = "prompt-crashes/";

    static std::string encode(const CrashReport &report);
    /// \brief Malformed: not a report.
    static Result<CrashReport> decode(std::string_view text);
};

} // namespace foxtailring
