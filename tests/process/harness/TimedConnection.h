#pragma once

#include "foxtailring/base/Result.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace foxtailring::harness {

using DeadlineTime = std::chrono::steady_clock::time_point;

/// \brief TCP connection to a port of 127.0.0.1 whose blocking calls end at a deadline.
class TimedConnection
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    TimedConnection();

    /// \brief Connects and sends \a request. Fails with Unavailable when it cannot connect, Closed
    /// when it cannot write, and Timeout.
    Result<Done> send(std::uint16_t port, Request &request, DeadlineTime deadline);
    /// \brief Runs handlers until \a done is true; returns false at the deadline. Operations that
    /// are then still pending continue in the next call.
    bool runUntil(const bool &done, DeadlineTime deadline);
    /// \brief Closes the socket and runs the handlers of its cancelled operations.
    void close();

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;

private:
    Result<Done> awaitCompletion(const bool &done, const boost::system::error_code &error,
                                 ErrorCode code, DeadlineTime deadline);
};

} // namespace foxtailring::harness
