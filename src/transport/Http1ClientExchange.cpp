#include "Http1ClientExchange.h"

#include "HookGuard.h"
#include "HttpWire.h"
#include "IdleConnections.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>

namespace foxtailring {

namespace http = boost::beast::http;

namespace {

// A server that answers early may never read the rest of the request.
constexpr std::chrono::milliseconds lateWriteTime {100};
constexpr std::uint32_t maxHeadBytes = 64 * 1024;
// Input that the parser cannot take yet is part of a head or of a chunk header.
constexpr std::size_t maxPendingInput = 2 * maxHeadBytes;

// A server that tells when it closes an idle connection is trusted for half of that time, so that
// no request is written to a connection that is about to be closed.
std::chrono::milliseconds keepAliveTime(const http::fields &fields)
{
    constexpr std::string_view parameter = "timeout=";
    const auto field = fields["Keep-Alive"];
    const std::string_view text(field.data(), field.size());
    const auto found = text.find(parameter);
    if (found == std::string_view::npos)
        return IdleConnections::idleTime;
    std::int64_t seconds = 0;
    const auto digits = text.substr(found + parameter.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    const std::chrono::milliseconds half(std::max<std::int64_t>(seconds, 0) * 500);
    return std::min(half, IdleConnections::idleTime);
}

// A server that sends more than this before its answer never comes to an end.
constexpr int mostOtherHeads = 16;
constexpr std::size_t mostForeignBytes = 1024 * 1024;

bool isInterim(unsigned status)
{
    return status >= 100 && status < 200;
}

} // namespace

Http1ClientExchange::Http1ClientExchange(Socket socket, Options options, StreamHooks hooks)
    : m_socket(std::move(socket))
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_stepTimer(m_socket.get_executor())
    , m_timer(m_socket.get_executor())
{
    resetParser();
}

void Http1ClientExchange::start()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_complete)
            return;
        if (self->m_options.timeout) {
            self->m_timer.expires_after(*self->m_options.timeout);
            self->m_timer.async_wait([self](ErrorStatus status) {
                if (!status)
                    self->expired();
            });
        }
        if (self->m_socket.is_open())
            self->write();
        else
            self->connect();
    });
}

void Http1ClientExchange::cancel(ErrorCode code, std::string message)
{
    net::post(m_socket.get_executor(),
              [self = shared_from_this(), code, message = std::move(message)] {
                  self->fail(code, message);
              });
}

void Http1ClientExchange::connect()
{
    ErrorStatus status;
    const auto address = net::ip::make_address(m_options.endpoint.ip, status);
    if (status)
        return fail(ErrorCode::Unavailable, "not an IP number");
    m_stepTimer.expires_after(m_options.exchange.connectTimeout);
    m_stepTimer.async_wait([self = shared_from_this()](ErrorStatus waited) {
        if (!waited && !self->m_writeStarted)
            self->fail(ErrorCode::Unavailable, "connecting timed out");
    });
    m_socket.async_connect(
        {address, m_options.endpoint.port},
        [self = shared_from_this()](ErrorStatus connectStatus) { self->connected(connectStatus); });
}

void Http1ClientExchange::connected(ErrorStatus status)
{
    if (m_complete)
        return;
    m_stepTimer.cancel();
    if (status)
        return fail(ErrorCode::Unavailable, status.message());
    setSocketOptions(m_socket);
    if (m_options.exchange.unacknowledgedTimeout.count() > 0)
        setUnacknowledgedTimeout(m_socket, m_options.exchange.unacknowledgedTimeout);
    write();
}

// The read starts with the write, since a server may answer before it has taken the whole request.
void Http1ClientExchange::write()
{
    m_writeStarted = true;
    net::async_write(
        m_socket, net::buffer(m_options.requestBytes),
        [self = shared_from_this()](ErrorStatus status, std::size_t) { self->written(status); });
    read();
}

// The pending read reports a lost connection.
void Http1ClientExchange::written(ErrorStatus status)
{
    m_writeDone = !status;
    if (m_responseDone && !m_complete)
        succeed();
}

void Http1ClientExchange::read()
{
    m_socket.async_read_some(net::buffer(m_chunk),
                             [self = shared_from_this()](ErrorStatus status, std::size_t size) {
                                 self->received(status, size);
                             });
}

void Http1ClientExchange::received(ErrorStatus status, std::size_t size)
{
    if (m_complete)
        return;
    if (status)
        return ended(status);
    m_input.append(m_chunk.data(), size);
    parse();
    if (m_complete || m_responseDone)
        return;
    if (m_input.size() > maxPendingInput)
        return fail(ErrorCode::Malformed, "a chunk header is too long");
    read();
}

// A body without length or chunks ends with the connection.
void Http1ClientExchange::ended(ErrorStatus status)
{
    ErrorStatus parseStatus;
    if (status == net::error::eof && m_parser->got_some())
        m_parser->put_eof(parseStatus);
    if (m_headPassed && !parseStatus && m_parser->is_done())
        return responseReceived();
    const bool isCut = status == net::error::eof;
    fail(ErrorCode::Closed, isCut ? "the connection closed before the end" : status.message());
}

void Http1ClientExchange::resetParser()
{
    m_parser.emplace();
    m_parser->header_limit(maxHeadBytes);
    m_parser->body_limit(boost::none);
    m_parser->eager(true);
    m_parser->skip(m_options.isHead);
}

void Http1ClientExchange::parse()
{
    ErrorStatus status;
    while (!m_complete && !m_input.empty() && !m_parser->is_done() && parseStep(status)) { }
    if (m_complete)
        return;
    if (status && status != http::error::need_more)
        return fail(ErrorCode::Malformed, status.message());
    if (!m_parser->is_done())
        return;
    const bool isFinal = !isInterim(m_parser->get().result_int());
    if (isFinal && !m_isForeign)
        return responseReceived();
    nextResponse();
}

void Http1ClientExchange::nextResponse()
{
    m_isForeign = false;
    if (++m_otherHeads > mostOtherHeads)
        return fail(ErrorCode::Malformed, "too many heads before the answer");
    resetParser();
    if (!m_input.empty())
        parse();
}

// Takes at most one m_body of bytes from the input. False when there is nothing left to do.
bool Http1ClientExchange::parseStep(ErrorStatus &status)
{
    auto &body = m_parser->get().body();
    body.data = m_body.data();
    body.size = m_body.size();
    m_input.erase(0, m_parser->put(net::buffer(m_input), status));
    if (m_parser->is_header_done() && !isInterim(m_parser->get().result_int()))
        deliver(m_body.size() - body.size);
    if (status == http::error::need_buffer)
        status = {};
    return !status;
}

void Http1ClientExchange::passHead()
{
    const auto &message = m_parser->get();
    const HttpResponse head {static_cast<int>(message.result_int()), headersOf(message), {}};
    m_isForeign = m_hooks.matchesRequest && !m_hooks.matchesRequest(head);
    if (m_isForeign)
        return;
    m_headPassed = true;
    runHook(m_hooks.onHead, head);
}

void Http1ClientExchange::deliver(std::size_t bodySize)
{
    if (!m_headPassed && !m_isForeign)
        passHead();
    if (!m_isForeign && bodySize > 0)
        runHook(m_hooks.onBody, std::string_view(m_body.data(), bodySize));
    if (m_isForeign)
        m_foreignBytes += bodySize;
    if (m_foreignBytes > mostForeignBytes)
        fail(ErrorCode::Malformed, "the answer to another request is too long");
}

void Http1ClientExchange::expired()
{
    if (m_writeStarted)
        fail(ErrorCode::Timeout, "no complete response in time");
    else
        fail(ErrorCode::Unavailable, "connecting timed out");
}

// The event of a finished write can come after the response; a connection may be reused only once
// it is known to have taken the whole request.
void Http1ClientExchange::responseReceived()
{
    if (m_writeDone || !m_options.idle)
        return succeed();
    m_responseDone = true;
    m_stepTimer.expires_after(lateWriteTime);
    m_stepTimer.async_wait([self = shared_from_this()](ErrorStatus status) {
        if (!status && !self->m_complete)
            self->succeed();
    });
}

void Http1ClientExchange::succeed()
{
    const bool isReusable =
        m_options.idle && m_writeDone && m_input.empty() && m_parser->keep_alive();
    if (isReusable)
        m_options.idle->put(m_options.endpoint, std::move(m_socket),
                            keepAliveTime(m_parser->get()));
    complete(Done());
}

void Http1ClientExchange::fail(ErrorCode code, const std::string &message)
{
    if (!m_complete)
        complete(Error {code, m_options.endpoint.toString() + ": " + message});
}

void Http1ClientExchange::complete(const Result<Done> &result)
{
    m_complete = true;
    ErrorStatus ignored;
    m_socket.close(ignored);
    m_stepTimer.cancel();
    m_timer.cancel();
    const StreamHooks hooks = std::exchange(m_hooks, {});
    runHook(hooks.onClosed, result);
}

} // namespace foxtailring
