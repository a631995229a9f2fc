#include "FakeExchange.h"

#include "FakeConnection.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace foxtailring::fakes {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::uint64_t bodyLimitBytes = 64 * 1024 * 1024;

boost::beast::string_view toBeast(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

bool FakeConnection::readRequest()
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(bodyLimitBytes);
    boost::system::error_code error;
    http::read(socket, buffer, parser, error);
    if (error)
        return false;
    request = parser.release();
    answered = false;
    return true;
}

FakeExchange::FakeExchange(FakeConnection &connection)
    : m_connection(connection)
{
}

std::string FakeExchange::method() const
{
    return std::string(m_connection.request.method_string());
}

std::string FakeExchange::target() const
{
    return std::string(m_connection.request.target());
}

std::string FakeExchange::path() const
{
    const std::string whole = target();
    return whole.substr(0, whole.find('?'));
}

std::string FakeExchange::query(std::string_view name, std::string_view fallback) const
{
    const std::string whole = target();
    const std::string wanted = std::string(name) + '=';
    std::size_t at = whole.find('?');
    while (at != std::string::npos) {
        const std::size_t end = whole.find('&', at + 1);
        const std::string pair = whole.substr(at + 1, end - at - 1);
        if (pair.starts_with(wanted))
            return pair.substr(wanted.size());
        at = end;
    }
    return std::string(fallback);
}

std::string FakeExchange::header(std::string_view name) const
{
    return std::string(m_connection.request[toBeast(name)]);
}

const std::string &FakeExchange::body() const
{
    return m_connection.request.body();
}

nlohmann::json FakeExchange::json() const
{
    return body().empty() ? nlohmann::json::object() : nlohmann::json::parse(body());
}

void FakeExchange::respond(int status, const nlohmann::json &body)
{
    respondText(status, "application/json",
                body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void FakeExchange::respondText(int status, std::string_view contentType, std::string body)
{
    http::response<http::string_body> response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, toBeast(contentType));
    response.keep_alive(m_connection.request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    boost::system::error_code error;
    http::write(m_connection.socket, response, error);
    m_connection.answered = true;
    m_connection.open = m_connection.open && !error && response.keep_alive();
}

void FakeExchange::startStream(std::string_view contentType)
{
    http::response<http::empty_body> response(http::status::ok, 11);
    response.set(http::field::content_type, toBeast(contentType));
    response.set(http::field::cache_control, "no-cache");
    response.keep_alive(m_connection.request.keep_alive());
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    http::write_header(m_connection.socket, serializer, error);
    m_connection.answered = true;
    m_connection.open = m_connection.open && !error && response.keep_alive();
}

bool FakeExchange::write(std::string_view chunk)
{
    boost::system::error_code error;
    asio::write(m_connection.socket,
                http::make_chunk(asio::const_buffer(chunk.data(), chunk.size())), error);
    return !error;
}

void FakeExchange::finishStream()
{
    boost::system::error_code error;
    asio::write(m_connection.socket, http::make_chunk_last(), error);
    m_connection.open = m_connection.open && !error;
}

void FakeExchange::close()
{
    m_connection.answered = true;
    m_connection.open = false;
}

bool FakeExchange::peerClosed() const
{
    std::array<char, 1> byte {};
    const auto count = ::recv(m_connection.socket.native_handle(), byte.data(), byte.size(),
                              MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace foxtailring::fakes
