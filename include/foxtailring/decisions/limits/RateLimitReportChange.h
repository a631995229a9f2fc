#pragma once

#include "foxtailring/decisions/limits/RateLimitReport.h"

#include <optional>
#include <string>

namespace foxtailring {

/// \brief A change of one process's report in the store.
struct RateLimitReportChange
{
    std::string processId;
    std::optional<RateLimitReport> report; ///< none: the process has ended or is cut off
};

} // namespace foxtailring
