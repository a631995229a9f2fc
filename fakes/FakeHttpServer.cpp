#include "FakeHttpServer.h"

#include "FakeConnection.h"
#include "FakeExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <stdexcept>
#include <thread>

namespace foxtailring::fakes {

using boost::asio::ip::tcp;

struct FakeHttpServer::State
{
    FakeHandler handler;
    boost::asio::io_context context;
    tcp::acceptor acceptor {context};
};

namespace {

tcp::endpoint parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("address \"" + address + "\" is not IP:PORT");
    const int port = std::stoi(address.substr(colon + 1));
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(port)};
}

// Answers 400 when the handler meets JSON of the wrong shape.
void handleOne(const FakeHandler &handler, FakeExchange &exchange)
{
    try {
        handler(exchange);
    } catch (const std::exception &fault) {
        exchange.respond(400, {{"error", fault.what()}, {"code", 3}});
    }
}

void serve(const FakeHandler &handler, tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    FakeConnection connection(std::move(socket));
    while (connection.open && connection.readRequest()) {
        FakeExchange exchange(connection);
        handleOne(handler, exchange);
        if (!connection.answered)
            exchange.respond(404, {{"error", "no such path: " + exchange.target()}});
    }
}

} // namespace

FakeHttpServer::FakeHttpServer(FakeHandler handler)
    : m_state(std::make_shared<State>())
{
    m_state->handler = std::move(handler);
}

FakeHttpServer::~FakeHttpServer() = default;

std::uint16_t FakeHttpServer::listen(const std::string &address)
{
    const tcp::endpoint endpoint = parseAddress(address);
    tcp::acceptor &acceptor = m_state->acceptor;
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    std::thread([state = m_state] {
        for (;;) {
            boost::system::error_code error;
            tcp::socket socket = state->acceptor.accept(error);
            if (error)
                continue;
            std::thread([state, socket = std::move(socket)]() mutable {
                serve(state->handler, std::move(socket));
            }).detach();
        }
    }).detach();
    return acceptor.local_endpoint().port();
}

} // namespace foxtailring::fakes
