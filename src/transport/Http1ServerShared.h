#pragma once

#include "foxtailring/transport/Http1Server.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <utility>

namespace foxtailring {

/// \brief State shared by all connections of one Http1Server.
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

    /// \brief True if these are other limits than before.
    bool setLimits(HttpLimits limits)
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_limits, limits) != limits;
    }

    const Http1Server::Handler handler;
    Http1Server::CutHook cutHook;           ///< set before the first connection is accepted
    Http1Server::BodyTimeHook bodyTimeHook; ///< set before the first connection is accepted
    Http1Server::MemoryHook memoryHook;     ///< set before the first connection is accepted
    std::atomic<std::size_t> openRequestCount = 0;
    std::atomic<std::size_t> expectedRequestCount = 0;
    std::atomic<std::size_t> usableConnectionCount = 0;
    std::atomic<bool> isStopping = false;    ///< connections close after their current request
    std::atomic<bool> isClosing = false;     ///< each response closes its connection
    std::atomic<bool> isClosingIdle = false; ///< connections without a whole request end
    std::atomic<bool> isRefusing = false;    ///< requests are refused without the handler
    std::atomic<bool> isClosed = false;      ///< no more handlers are called

private:
    mutable std::mutex m_mutex;
    HttpLimits m_limits;
};

} // namespace foxtailring
