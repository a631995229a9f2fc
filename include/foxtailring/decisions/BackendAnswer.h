#pragma once

#include "foxtailring/decisions/BackendLoadReport.h"

#include <optional>
#include <string>

namespace foxtailring {

/// \brief What the head of a backend server's answer says.
struct BackendAnswer
{
    int status = 0;
    bool isNotRun = false;      ///< the server says that it did not run the request
    bool isOtherServer = false; ///< the request names another server than this one
    bool isSigned = false;      ///< carries the server's signature, as every answer of a run does
    std::string requestId;      ///< the request that it answers; empty: not told
    std::string serverId;       ///< the server that answers; empty: not told
    std::optional<BackendLoadReport> load;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

} // namespace foxtailring
