#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/decisions/PromptCrashReport.h"

#include <string>
#include <string_view>

namespace foxtailring {

/// \brief JSON form of the reports on crashes and prompt parts that gateways exchange through the
/// store.
class PromptCrashReportCodec
{
public:
    /// \brief A gateway's key in the store is this prefix and its node id.
    static constexpr std::string_view keyPrefix = "prompt-crashes/";

    static std::string encode(const PromptCrashReport &report);
    /// \brief Malformed: not a report.
    static Result<PromptCrashReport> decode(std::string_view text);
};

} // namespace foxtailring
