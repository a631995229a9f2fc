#include "ProxyPump.h"

#include "ProxyCounters.h"
#include "ProxyFaults.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

namespace foxtailring::fakes {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Bounds the memory of a frozen or delayed connection: 256 chunks of 16 KiB are 4 MiB.
constexpr std::size_t maxChunks = 256;

} // namespace

ProxyPump::ProxyPump(tcp::socket &from, tcp::socket &to, Direction direction,
                     const ProxyFaults &faults, ProxyCounters &counters, Hooks hooks)
    : m_from(from)
    , m_to(to)
    , m_direction(direction)
    , m_faults(faults)
    , m_counters(counters)
    , m_hooks(std::move(hooks))
    , m_timer(from.get_executor())
{
}

void ProxyPump::proceed(const std::shared_ptr<void> &owner)
{
    read(owner);
    write(owner);
}

void ProxyPump::goSilent()
{
    m_silent = true;
}

bool ProxyPump::isSilent() const
{
    return m_silent;
}

void ProxyPump::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void ProxyPump::read(const std::shared_ptr<void> &owner)
{
    if (m_stopped || m_reading || m_readEnded || m_faults.freeze || m_chunks.size() >= maxChunks)
        return;
    m_reading = true;
    m_from.async_read_some(asio::buffer(m_buffer),
                           [this, owner](boost::system::error_code error, std::size_t size) {
                               m_reading = false;
                               if (!m_stopped)
                                   onRead(error, size, owner);
                           });
}

void ProxyPump::onRead(const boost::system::error_code &error, std::size_t size,
                       const std::shared_ptr<void> &owner)
{
    const Ending ending = !error    ? Ending::None
        : error == asio::error::eof ? Ending::Closed
                                    : Ending::Reset;
    m_readEnded = ending != Ending::None;
    // A direction that has lost bytes stays silent: TCP never delivers a stream with a hole.
    m_silent = m_silent || dropsBytes();
    if (m_silent)
        return swallow(size, ending, owner);
    m_chunks.push_back({std::chrono::steady_clock::now() + m_faults.delay,
                        std::string(m_buffer.data(), size), ending});
    proceed(owner);
}

void ProxyPump::swallow(std::size_t size, Ending ending, const std::shared_ptr<void> &owner)
{
    m_counters.swallowedBytes += size;
    if (ending == Ending::None)
        read(owner);
    else
        m_hooks.ended();
}

void ProxyPump::write(const std::shared_ptr<void> &owner)
{
    if (m_stopped || m_writing || m_waiting || m_silent || m_faults.freeze || m_chunks.empty())
        return;
    const Chunk &chunk = m_chunks.front();
    if (chunk.due > std::chrono::steady_clock::now())
        return waitUntilDue(owner);
    if (chunk.ending != Ending::None)
        return finish(chunk.ending);
    const std::size_t size = writableBytes();
    if (size == 0)
        return m_hooks.truncated();
    m_writing = true;
    asio::async_write(m_to, asio::buffer(chunk.bytes.data(), size),
                      [this, owner](boost::system::error_code error, std::size_t written) {
                          m_writing = false;
                          if (!m_stopped)
                              onWritten(error, written, owner);
                      });
}

void ProxyPump::waitUntilDue(const std::shared_ptr<void> &owner)
{
    m_waiting = true;
    m_timer.expires_at(m_chunks.front().due);
    m_timer.async_wait([this, owner](boost::system::error_code) {
        m_waiting = false;
        write(owner);
    });
}

void ProxyPump::onWritten(const boost::system::error_code &error, std::size_t size,
                          const std::shared_ptr<void> &owner)
{
    m_delivered += size;
    (m_direction == Direction::ToTarget ? m_counters.toTargetBytes : m_counters.toClientBytes) +=
        size;
    if (m_silent)
        return;
    if (error)
        return m_hooks.failed();
    if (isTruncated())
        return m_hooks.truncated();
    m_chunks.pop_front();
    proceed(owner);
}

void ProxyPump::finish(Ending ending)
{
    m_chunks.clear();
    if (ending == Ending::Reset)
        return m_hooks.failed();
    boost::system::error_code ignored;
    m_to.shutdown(tcp::socket::shutdown_send, ignored);
    m_hooks.ended();
}

std::size_t ProxyPump::writableBytes() const
{
    const std::size_t size = m_chunks.front().bytes.size();
    if (m_direction != Direction::ToClient || !m_faults.truncateAfter)
        return size;
    const std::uint64_t limit = *m_faults.truncateAfter;
    return limit <= m_delivered ? 0 : std::min<std::uint64_t>(size, limit - m_delivered);
}

bool ProxyPump::isTruncated() const
{
    return m_direction == Direction::ToClient && m_faults.truncateAfter
        && m_delivered >= *m_faults.truncateAfter;
}

bool ProxyPump::dropsBytes() const
{
    return m_direction == Direction::ToTarget ? m_faults.dropToTarget : m_faults.dropToClient;
}

} // namespace foxtailring::fakes
