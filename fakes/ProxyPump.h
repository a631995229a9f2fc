#pragma once

#include <utility>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace foxtailring::fakes {

struct ProxyCounters;
struct ProxyFaults;

/// \brief Carries bytes in one direction of a proxied connection and applies the route's faults.
/// Runs on one thread.
class ProxyPump
{
public:
    enum class Direction { ToTarget, ToClient };

    /// \brief What the connection is told. ended: this direction carries nothing more; failed: a
    /// socket was reset; truncated: the byte limit of the route is reached.
    struct Hooks
    {
        std::function<void()> ended;
        std::function<void()> failed;
        std::function<void()> truncated;
    };

    ProxyPump(boost::asio::ip::tcp::socket &from, boost::asio::ip::tcp::socket &to,
              Direction direction, const ProxyFaults &faults, ProxyCounters &counters, Hooks hooks);

    /// \brief Starts to read, or goes on after the faults have changed. \a owner is kept alive
    /// while an operation is pending.
    void proceed(const std::shared_ptr<void> &owner);
    /// \brief Swallows all further bytes, for good.
    void goSilent();
    bool isSilent() const;
    void stop();

private:
    enum class Ending { None, Closed, Reset };
    struct Chunk
    {
        std::chrono::steady_clock::time_point due;
        std::string bytes;
        Ending ending = Ending::None;
    };

    void read(const std::shared_ptr<void> &owner);
    void onRead(const boost::system::error_code &error, std::size_t size,
                const std::shared_ptr<void> &owner);
    void swallow(std::size_t size, Ending ending, const std::shared_ptr<void> &owner);
    void write(const std::shared_ptr<void> &owner);
    void waitUntilDue(const std::shared_ptr<void> &owner);
    void onWritten(const boost::system::error_code &error, std::size_t size,
                   const std::shared_ptr<void> &owner);
    void finish(Ending ending);
    std::size_t writableBytes() const;
    bool isTruncated() const;
    bool dropsBytes() const;

    boost::asio::ip::tcp::socket &m_from;
    boost::asio::ip::tcp::socket &m_to;
    Direction m_direction;
    const ProxyFaults &m_faults;
    ProxyCounters &m_counters;
    Hooks m_hooks;
    boost::asio::steady_timer m_timer;
    std::array<char, 16 * 1024> m_buffer {};
    std::deque<Chunk> m_chunks;
    std::uint64_t m_delivered = 0;
    bool m_reading = false;
    bool m_writing = false;
    bool m_waiting = false;
    bool m_readEnded = false;
    bool m_silent = false;
    bool m_stopped = false;
};

} // namespace foxtailring::fakes
