#include "FakeHttpServer.h"

#include "Address.h"
#include "FakeConnection.h"
#include "FakeExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

// Answers 400 when the handler meets JSON of the wrong shape.
void handleOne(const FakeHandler &handler, FakeConnection &connection)
{
    FakeExchange exchange(connection);
    try {
        handler(exchange);
        if (!connection.answered)
            exchange.respond(404, {{"error", "no such path: " + exchange.target()}});
    } catch (const std::exception &fault) {
        if (connection.answered)
            return exchange.close();
        exchange.respond(400, {{"error", fault.what()}, {"code", 3}});
    }
}

void serve(const FakeHandler &handler, tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    FakeConnection connection(std::move(socket));
    while (connection.open && connection.readRequest())
        handleOne(handler, connection);
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
