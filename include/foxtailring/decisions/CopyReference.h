#pragma once

#include <string>

namespace foxtailring {

/// \brief Identifies the copy of a run to the server that holds it.
struct CopyReference
{
    std::string address; ///< IP:PORT of the holder; of a snapshot: of the server that made it
    std::string handle;  ///< empty: the request id is the handle
};

} // namespace foxtailring
