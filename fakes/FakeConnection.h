#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace foxtailring::fakes {

/// \brief State of one blocking HTTP/1.1 connection.
class FakeConnection
{
public:
    explicit FakeConnection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    /// \brief Reads the next request; false when the connection has ended.
    bool readRequest();

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::string_body> request;
    bool answered = false;
    bool open = true;
};

} // namespace foxtailring::fakes
