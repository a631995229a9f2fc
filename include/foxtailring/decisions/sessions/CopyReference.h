#pragma once

#include <string>

namespace foxtailring {

/// \brief Identifies the copy of a run to the server that holds it.
struct CopyReference
{
    std::string address;  ///< IP:PORT of the holder, or of the server that made the snapshot
    std::string handle;   ///< empty: the request id is the handle
    std::string serverId; ///< the server at \a address; empty: unknown

    bool operator==(const CopyReference &) const = default;
};

} // namespace foxtailring
