#pragma once

#include "foxtailring/transport/Http1Server.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <utility>

namespace foxtailring {

/// \brief What all connections of one Http1Server use.
struct Http1ServerShared
{
    Http1ServerShared(HttpLimits httpLimits, Http1Server::Handler requestHandler)
        : handler(std::move(requestHandler))
        , m_limits(httpLimits)
    {
    }

    HttpLimits limits() const
    {
        const std::lock_guard lock(m_mutex);
        return m_limits;
    }

    void setLimits(HttpLimits limits)
    {
        const std::lock_guard lock(m_mutex);
        m_limits = limits;
    }

    const Http1Server::Handler handler;
    std::atomic<std::size_t> openRequestCount = 0;
    std::atomic<bool> isStopping = false; ///< connections close after their present request
    std::atomic<bool> isClosing = false;  ///< responses close their connection
    std::atomic<bool> isClosed = false;   ///< no handler is started any more

private:
    mutable std::mutex m_mutex;
    HttpLimits m_limits;
};

} // namespace foxtailring
