#pragma once

#include "foxtailring/transport/Endpoint.h"

#include "ServerAttempt.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace foxtailring {

/// \brief The attempts of one request that are in progress: the current one, and possibly an
/// earlier one that goes on as the fallback.
class OpenAttempts
{
public:
    /// \brief Ends the current attempt and starts the next one.
    ServerAttempt &begin(std::string serverId, Endpoint endpoint);
    /// \brief The current attempt becomes the fallback; an earlier fallback is ended.
    void keepCurrent();
    /// \brief The fallback is the current attempt again; the one in progress is ended.
    void resumeFallback();
    /// \brief Closes the connection of the current attempt. What has arrived is kept until the next
    /// one.
    void endCurrent();
    /// \brief Ends the current attempt and drops what has arrived of its body.
    void dropCurrent();
    void endFallback();

    ServerAttempt &current() { return m_current; }
    const ServerAttempt &current() const { return m_current; }
    ServerAttempt &fallback() { return m_fallback; }
    bool isCurrent(std::uint64_t number) const { return m_current.number == number; }
    bool isFallback(std::uint64_t number) const
    {
        return hasFallback() && m_fallback.number == number;
    }
    bool hasFallback() const { return m_fallback.number != 0; }
    /// \brief Number of attempts begun so far.
    std::uint64_t count() const { return m_count; }
    /// \brief Bytes of answers that are not passed on yet.
    std::size_t pendingBytes() const;

private:
    ServerAttempt m_current;
    ServerAttempt m_fallback; ///< number 0: none
    std::uint64_t m_count = 0;
};

} // namespace foxtailring
