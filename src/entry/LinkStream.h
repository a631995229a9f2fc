#pragma once

#include <cstdint>
#include <memory>

namespace foxtailring {

class Http2Stream;

/// \brief A stream and the connection it was opened on.
struct LinkStream
{
    std::shared_ptr<Http2Stream> stream;
    std::uint64_t connection = 0; ///< grows with each connection of a SidecarLink
};

} // namespace foxtailring
