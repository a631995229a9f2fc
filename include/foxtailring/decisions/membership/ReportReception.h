#pragma once

#include "foxtailring/base/Clock.h"

#include <string_view>

namespace foxtailring {

/// \brief How a report of another process came here. Times are of the clock of this process.
struct ReportReception
{
    std::string_view reporter; ///< the other process
    TimePoint writtenAfter;    ///< the store had not got the report by then; zero: unknown
};

} // namespace foxtailring
