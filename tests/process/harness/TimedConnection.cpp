#include "TimedConnection.h"

#include <boost/beast/http/write.hpp>

namespace foxtailring::harness {

using boost::asio::ip::tcp;

TimedConnection::TimedConnection()
    : socket(context)
{
}

Result<Done> TimedConnection::send(std::uint16_t port, Request &request, DeadlineTime deadline)
{
    boost::system::error_code error;
    bool done = false;
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
    socket.async_connect(endpoint, [&](boost::system::error_code result) {
        error = result;
        done = true;
    });
    Result<Done> connected = awaitCompletion(done, error, ErrorCode::Unavailable, deadline);
    if (!connected)
        return connected;
    done = false;
    boost::beast::http::async_write(socket, request,
                                    [&](boost::system::error_code result, std::size_t) {
                                        error = result;
                                        done = true;
                                    });
    return awaitCompletion(done, error, ErrorCode::Closed, deadline);
}

bool TimedConnection::runUntil(const bool &done, DeadlineTime deadline)
{
    context.restart();
    while (!done) {
        if (context.run_one_until(deadline) == 0)
            return done;
    }
    return true;
}

void TimedConnection::close()
{
    boost::system::error_code ignored;
    socket.close(ignored);
    context.restart();
    context.run();
}

Result<Done> TimedConnection::awaitCompletion(const bool &done,
                                              const boost::system::error_code &error,
                                              ErrorCode code, DeadlineTime deadline)
{
    if (!runUntil(done, deadline)) {
        close();
        return {ErrorCode::Timeout, "no progress before the deadline"};
    }
    if (error)
        return {code, error.message()};
    return Done {};
}

} // namespace foxtailring::harness
