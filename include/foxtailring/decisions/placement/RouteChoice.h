#pragma once

#include <string>

namespace foxtailring {

/// \brief The backend server chosen for a generation or a call.
struct RouteChoice
{
    std::string serverId;
    std::string address; ///< IP:PORT of the sidecar
    std::string reason;  ///< human-readable
    /// The lowest wins. For a resume the cost in ms, a weighted sum of the expected latency and of
    /// the tokens to prefill and the bytes to send between regions.
    double score = 0;
};

} // namespace foxtailring
