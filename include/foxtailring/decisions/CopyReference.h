#pragma once

#include <string>

namespace foxtailring {

/// \brief Names the copy of a run to the server that keeps it.
struct CopyReference
{
    std::string address; ///< IP:PORT of the keeper, or of the run's server when it was ordered
    std::string handle;  ///< empty: the copy is named after the request
};

} // namespace foxtailring
