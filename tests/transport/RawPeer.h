#pragma once

#include "Mailbox.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdint>
#include <linux/sockios.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/ioctl.h>

namespace foxtailring {

/// \brief One end of a TCP connection that a test drives byte by byte, with blocking calls.
class RawPeer
{
public:
    using Tcp = boost::asio::ip::tcp;

    explicit RawPeer(std::uint16_t port)
        : m_socket(m_context)
    {
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
    }
    /// \brief As above, with a receive buffer of about \a receiveBytes.
    RawPeer(std::uint16_t port, int receiveBytes)
        : m_socket(m_context)
    {
        m_socket.open(Tcp::v4());
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBytes));
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
    }
    explicit RawPeer(Tcp::acceptor &acceptor)
        : m_socket(m_context)
    {
        acceptor.accept(m_socket);
    }

    void write(std::string_view bytes)
    {
        boost::system::error_code ignored; // the other end may close during the write
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    /// \brief Writes unless the connection is reset within \a interval. Returns false after a
    /// reset.
    bool tryWrite(std::string_view bytes, std::chrono::milliseconds interval)
    {
        pollfd waited {m_socket.native_handle(), 0, 0}; // errors alone
        if (::poll(&waited, 1, static_cast<int>(interval.count())) != 0)
            return false;
        boost::system::error_code status;
        boost::asio::write(m_socket, boost::asio::buffer(bytes), status);
        return !status;
    }

    /// \brief Reads up to and including \a mark, or up to the end of the connection.
    std::string readUntil(std::string_view mark)
    {
        boost::system::error_code status;
        const std::size_t size =
            boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(m_input), mark, status);
        std::string bytes = m_input.substr(0, status ? m_input.size() : size);
        m_input.erase(0, bytes.size());
        return bytes;
    }

    /// \brief True if everything written has reached the other end's system.
    bool isAcknowledged()
    {
        int count = 0;
        return ::ioctl(m_socket.native_handle(), SIOCOUTQ, &count) == 0 && count == 0;
    }

    /// \brief True if input or the end of the connection can be read.
    bool hasInput()
    {
        pollfd waited {m_socket.native_handle(), POLLIN, 0};
        return !m_input.empty() || ::poll(&waited, 1, 0) == 1;
    }

    /// \brief Reads and drops up to \a size bytes; 0: the connection has ended.
    std::size_t readSome(std::size_t size)
    {
        boost::system::error_code status;
        std::string bytes(size, '\0');
        return m_socket.read_some(boost::asio::buffer(bytes), status);
    }

    std::string readAll()
    {
        boost::system::error_code status;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_input), status);
        return std::exchange(m_input, {});
    }

    /// \brief Reads to the end. False: the connection ended by a reset.
    bool readToOrderlyEnd()
    {
        boost::system::error_code status;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_input), status);
        return status == boost::asio::error::eof;
    }

    void close() { m_socket.close(); }

    /// \brief Ends the output of this end in order; input goes on.
    void shutdownOutput()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    }

    /// \brief Closes the connection by a reset.
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

    /// \brief Fails the test if the other end does not close the connection before testDeadline.
    void waitForClose()
    {
        pollfd waited {m_socket.native_handle(), POLLIN, 0};
        const std::chrono::milliseconds timeout = testDeadline;
        CPPUNIT_ASSERT_MESSAGE("not closed before the deadline",
                               ::poll(&waited, 1, static_cast<int>(timeout.count())) == 1);
        CPPUNIT_ASSERT_EQUAL(std::string(), readAll());
    }

private:
    boost::asio::io_context m_context;
    Tcp::socket m_socket;
    std::string m_input;
};

/// \brief A listening socket whose connections are driven by the test.
class RawServer
{
public:
    RawServer()
        : m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0})
    {
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    bool hasConnection()
    {
        pollfd waited {m_acceptor.native_handle(), POLLIN, 0};
        return ::poll(&waited, 1, 0) == 1;
    }
    /// \brief Fails the test if no connection arrives before testDeadline.
    RawPeer accept()
    {
        pollfd waited {m_acceptor.native_handle(), POLLIN, 0};
        const std::chrono::milliseconds timeout = testDeadline;
        CPPUNIT_ASSERT_MESSAGE("no connection before the deadline",
                               ::poll(&waited, 1, static_cast<int>(timeout.count())) == 1);
        return RawPeer(m_acceptor);
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace foxtailring
