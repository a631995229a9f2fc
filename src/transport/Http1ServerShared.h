#pragma once

#include "foxtailring/transport/Http1Server.h"

#include <atomic>
#include <cstddef>

namespace foxtailring {

/// \brief What all connections of one Http1Server use.
struct Http1ServerShared
{
    const HttpLimits limits;
    const Http1Server::Handler handler;
    std::atomic<std::size_t> openRequests = 0;
    std::atomic<bool> isStopping = false; ///< connections close after their present request
    std::atomic<bool> isClosed = false;   ///< no handler is started any more
};

} // namespace foxtailring
