#pragma once

#include <string>

namespace foxtailring {

/// \brief The backend server chosen for a piece of work.
struct RouteChoice
{
    std::string serverId;
    std::string address; ///< IP:PORT of the sidecar
    std::string reason;  ///< why, for people
    double score = 0;    ///< the lowest wins; for a resume the cost of section 7.2
};

} // namespace foxtailring
