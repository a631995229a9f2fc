#pragma once

#include "foxtailring/decisions/BackendLoadReport.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailring {

/// \brief What an engine answered when it was asked how it is doing.
struct ServerProbeResult
{
    std::string serverId;
    BackendLoadReport load;
    bool hasRun = false;             ///< it works on the request that the report was asked for
    std::int64_t eventsProduced = 0; ///< by that run
    bool hasPrompt = false;          ///< it has the prompt that it was asked for in memory
    std::int64_t startedAtMs = 0;    ///< Unix time of its start; 0: not told
};

} // namespace foxtailring
