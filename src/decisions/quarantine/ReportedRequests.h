#pragma once

#include "foxtailring/decisions/quarantine/CrashReport.h"

#include <string>
#include <vector>

namespace foxtailring {

using RequestSuspects = std::vector<std::string>; ///< of one request, the most specific one last

/// \brief The requests that a server had not begun to answer when it crashed, as far as the report
/// tells them apart.
std::vector<RequestSuspects> reportedRequests(const CrashReport::Crash &crash);

} // namespace foxtailring
