#include "OpenAttempts.h"

#include "foxtailring/transport/Http1Stream.h"

#include <utility>

namespace foxtailring {

ServerAttempt &OpenAttempts::begin(std::string serverId, Endpoint endpoint)
{
    endCurrent();
    m_current = ServerAttempt {};
    m_current.number = ++m_count;
    m_current.serverId = std::move(serverId);
    m_current.endpoint = std::move(endpoint);
    return m_current;
}

void OpenAttempts::keepCurrent()
{
    endFallback();
    m_fallback = std::exchange(m_current, ServerAttempt {});
}

void OpenAttempts::resumeFallback()
{
    endCurrent();
    m_current = std::exchange(m_fallback, ServerAttempt {});
}

void OpenAttempts::endCurrent()
{
    m_current.number = 0;
    if (const auto stream = std::exchange(m_current.stream, nullptr))
        stream->cancel();
}

void OpenAttempts::dropCurrent()
{
    endCurrent();
    m_current.body.clear();
    m_current.events = {};
}

void OpenAttempts::endFallback()
{
    if (const auto stream = std::exchange(m_fallback.stream, nullptr))
        stream->cancel();
    m_fallback = ServerAttempt {};
}

std::size_t OpenAttempts::pendingBytes() const
{
    return m_current.body.size() + m_current.events.pendingBytes() + m_fallback.body.size()
        + m_fallback.events.pendingBytes();
}

} // namespace foxtailring
