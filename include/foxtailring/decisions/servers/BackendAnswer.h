#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/LeavingNotice.h"
#include "foxtailring/decisions/servers/LoadFigures.h"

#include <optional>
#include <string>

namespace foxtailring {

/// \brief Decoded status and headers of a backend server's answer.
struct BackendAnswer
{
    int status = 0;
    bool isNotRun = false;      ///< the server did not execute the request
    bool isOtherServer = false; ///< the request was addressed to a different server
    bool isSigned = false;      ///< has a signature, like every answer to an executed request
    std::string requestId;      ///< the request that this answers; empty: not given
    std::string serverId;       ///< empty: not given
    LoadFigures load;
    bool namesRateLimit = false;     ///< has a rate limit, readable or not
    std::optional<double> rateLimit; ///< requests per second from all processes together
    LeavingNotice leaving = LeavingNotice::None;
    bool namesPause = false;       ///< turned away with a pause, readable or not
    std::optional<Duration> pause; ///< the server wants no request from this process for so long

    bool isSuccess() const { return status >= 200 && status < 300; }
};

} // namespace foxtailring
