#pragma once

#include <string>

namespace foxtailring {

/// \brief The backend server chosen for a generation or a call.
struct RouteChoice
{
    std::string serverId;
    std::string address; ///< IP:PORT of the sidecar
    std::string reason;  ///< human-readable
    double score = 0;    ///< the lowest wins; for a resume the cost of section 7.2
};

} // namespace foxtailring
