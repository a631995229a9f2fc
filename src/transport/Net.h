#pragma once

// Asio 1.74 uses std::exchange without including its header.
#include <chrono>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

namespace foxtailring {

namespace net = boost::asio;
using ErrorStatus = boost::system::error_code;
using Tcp = net::ip::tcp;
using Strand = net::strand<net::io_context::executor_type>;
/// \brief A socket whose handlers run on the strand of its connection.
using Socket = net::basic_stream_socket<Tcp, Strand>;

/// \brief Sets TCP_NODELAY and TCP keep-alive, as for every connection.
void setSocketOptions(Socket &socket);

/// \brief Bytes that have arrived on \a socket and are not read; 0 after an error.
std::size_t unreadBytes(const Socket &socket);
/// \brief Bytes written to \a socket that the peer's system has not acknowledged.
std::size_t unacknowledgedBytes(Socket &socket);
/// \brief Time since the peer's system last acknowledged anything.
std::chrono::milliseconds timeSinceAcknowledgement(Socket &socket);
/// \brief True if the peer has reset the connection, whether an operation has reported it or not.
bool isReset(Socket &socket);
/// \brief Closes the connection when sent bytes stay unacknowledged for \a limit
/// (TCP_USER_TIMEOUT).
void setUnacknowledgedTimeout(Socket &socket, std::chrono::milliseconds limit);

} // namespace foxtailring
