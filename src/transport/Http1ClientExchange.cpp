#include "Http1ClientExchange.h"

#include "BodyFraming.h"
#include "HookGuard.h"
#include "HttpWire.h"
#include "IdleConnections.h"
#include "KeepAliveTimeout.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>

namespace foxtailring {

namespace http = boost::beast::http;

namespace {

// Limit on waiting for the write: a server that responds early may never read the whole request.
constexpr std::chrono::milliseconds lateWriteTimeout {100};
// Interval of looking whether the request has arrived at a server that has ended its response.
constexpr std::chrono::milliseconds arrivalCheckInterval {10};
constexpr std::uint32_t maxHeadBytes = 64 * 1024;
// Bytes that the parser has not consumed belong to an incomplete head or chunk header.
constexpr std::size_t maxPendingInputBytes = 2 * maxHeadBytes;

// How long a connection may be reused: half of the timeout in the server's Keep-Alive header, so
// that no request is written to a connection that the server is about to close.
std::chrono::milliseconds reuseLifetime(const http::fields &fields)
{
    const auto field = fields["Keep-Alive"];
    const auto timeout = keepAliveTimeout({field.data(), field.size()});
    if (!timeout)
        return IdleConnections::maxIdleTime;
    return std::min(std::chrono::milliseconds(*timeout) / 2, IdleConnections::maxIdleTime);
}

// Limits on what is skipped before the response; a faulty server could send such data forever.
constexpr int maxSkippedHeads = 16;
constexpr std::size_t maxSkippedBytes = 1024 * 1024;

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
    , m_silenceTimer(m_socket.get_executor())
    , m_isFirstResponse(!m_socket.is_open())
{
    resetParser();
}

void Http1ClientExchange::start()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_isComplete)
            return;
        if (self->m_options.timeout)
            self->m_timer.start(*self->m_options.timeout, [self] { self->onTimeout(); });
        const auto firstByteTimeout = self->m_options.exchange.firstByteTimeout;
        if (firstByteTimeout.count() > 0)
            self->m_silenceTimer.start(firstByteTimeout, [self] { self->onTimeout(); });
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
        return fail(ErrorCode::Unavailable, "not an IP address");
    m_stepTimer.start(m_options.exchange.connectTimeout, [self = shared_from_this()] {
        self->fail(ErrorCode::Unavailable, "the connect attempt timed out");
    });
    m_socket.async_connect({address, m_options.endpoint.port},
                           [self = shared_from_this()](ErrorStatus connectStatus) {
                               self->onConnected(connectStatus);
                           });
}

void Http1ClientExchange::onConnected(ErrorStatus status)
{
    if (m_isComplete)
        return;
    m_stepTimer.cancel();
    if (status)
        return fail(ErrorCode::Unavailable, status.message());
    setSocketOptions(m_socket);
    if (m_options.exchange.unacknowledgedTimeout.count() > 0)
        setUnacknowledgedTimeout(m_socket, m_options.exchange.unacknowledgedTimeout);
    write();
}

// Reading starts with the write, since a server may respond before it has read the whole request.
void Http1ClientExchange::write()
{
    m_writeStarted = true;
    net::async_write(m_socket, net::buffer(m_options.requestBytes),
                     [self = shared_from_this()](ErrorStatus status, std::size_t size) {
                         self->onWritten(status, size);
                     });
    read();
}

// A server at its limit of connections may reset one before the request is written. The request is
// certain not to have run only if the system took none of its bytes. Other errors are left to the
// pending read, which reports a lost connection.
void Http1ClientExchange::onWritten(ErrorStatus status, std::size_t size)
{
    m_writeDone = !status;
    m_writeEnded = true;
    m_writeTimedOut = status == net::error::timed_out;
    if (status && size == 0 && m_input.empty() && !m_headDelivered)
        return fail(ErrorCode::Unavailable, "nothing was sent: " + status.message());
    if (m_responseDone && !m_isComplete)
        succeed();
    if (m_readWaitsForWrite && !m_isComplete)
        onReadError(net::error::eof);
}

// A server that has not read the whole request may reset the connection after it has ended its
// output, and only the write learns of it.
bool Http1ClientExchange::mayBeResetLater()
{
    const auto status = m_parser->get().result_int();
    const bool isSuccess = status >= 200 && status < 300;
    return isSuccess && m_parser->need_eof() && (!m_writeDone || unacknowledgedBytes(m_socket) > 0);
}

void Http1ClientExchange::awaitArrival()
{
    m_arrivalWait += arrivalCheckInterval;
    if (m_arrivalWait > lateWriteTimeout || (m_writeEnded && !m_writeDone))
        return fail(ErrorCode::Closed, "the response ended before the request had arrived");
    m_stepTimer.start(arrivalCheckInterval,
                      [self = shared_from_this()] { self->onReadError(net::error::eof); });
}

void Http1ClientExchange::read()
{
    m_socket.async_read_some(net::buffer(m_readBuffer),
                             [self = shared_from_this()](ErrorStatus status, std::size_t size) {
                                 self->onRead(status, size);
                             });
}

void Http1ClientExchange::onRead(ErrorStatus status, std::size_t size)
{
    if (m_isComplete)
        return;
    if (status)
        return onReadError(status);
    if (m_options.exchange.maxSilence.count() > 0)
        m_silenceTimer.start(m_options.exchange.maxSilence,
                             [self = shared_from_this()] { self->onTimeout(); });
    m_input.append(m_readBuffer.data(), size);
    parse();
    if (m_isComplete || m_responseDone)
        return;
    if (m_input.size() > maxPendingInputBytes)
        return fail(ErrorCode::Malformed, "a chunk header is too long");
    read();
}

// The end of the connection is the end of a body that has neither a length nor chunks. The error of
// a reset goes to a pending write, if there is one, and the read ends as after an orderly close.
void Http1ClientExchange::onReadError(ErrorStatus status)
{
    if (m_isComplete)
        return;
    if (status == net::error::eof && isReset(m_socket))
        status = net::error::connection_reset;
    // The end of the pending write, which follows at once, tells a reset from a timeout.
    if (status == net::error::connection_reset && !m_writeEnded) {
        m_readWaitsForWrite = true;
        return;
    }
    ErrorStatus parseStatus;
    if (status == net::error::eof && m_parser->got_some())
        m_parser->put_eof(parseStatus);
    if (m_headDelivered && !parseStatus && m_parser->is_done())
        return mayBeResetLater() ? awaitArrival() : onResponseComplete();
    // The peer may be silent and go on, so this does not show the end of the connection there.
    if (m_writeTimedOut || status == net::error::timed_out)
        return fail(ErrorCode::Timeout, "the peer acknowledged nothing for too long");
    const bool isCut = status == net::error::eof;
    fail(ErrorCode::Closed,
         isCut ? "the connection closed before the end of the response" : status.message());
}

void Http1ClientExchange::resetParser()
{
    m_parser.emplace();
    m_headBytes = 0;
    m_needsMore = false;
    m_parser->header_limit(maxHeadBytes);
    // Boost 1.74 takes every Content-Length for larger than no limit.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_options.isHead);
}

void Http1ClientExchange::parse()
{
    ErrorStatus status;
    while (canParse() && parseStep(status)) { }
    if (m_isComplete)
        return;
    if (status && status != http::error::need_more)
        return fail(ErrorCode::Malformed, status.message());
    if (!m_parser->is_done())
        return;
    const bool isFinal = !isInterim(m_parser->get().result_int());
    if (isFinal && !m_isMismatched)
        return onResponseComplete();
    if (isFinal && !m_parser->keep_alive())
        return fail(ErrorCode::Closed, "the connection ends with a response to another request");
    startNextResponse();
}

void Http1ClientExchange::startNextResponse()
{
    m_isMismatched = false;
    if (++m_skippedHeads > maxSkippedHeads)
        return fail(ErrorCode::Malformed, "too many responses before the expected one");
    resetParser();
    if (!m_input.empty())
        parse();
}

bool Http1ClientExchange::canParse() const
{
    const bool isInChunks = m_needsMore && m_parser->is_header_done();
    return !m_isComplete && m_input.size() >= (isInChunks ? minChunkedRestBytes : 1)
        && !m_parser->is_done();
}

// Parses a head, or at most one m_bodyBuffer of body bytes. Returns false when more input is needed
// or on an error. The parser adds trailers to the headers, so the head is delivered before it reads
// any further.
bool Http1ClientExchange::parseStep(ErrorStatus &status)
{
    const bool isInHead = !m_parser->is_header_done();
    m_parser->eager(!isInHead);
    auto &body = m_parser->get().body();
    body.data = m_bodyBuffer.data();
    body.size = m_bodyBuffer.size();
    const std::size_t size = m_parser->put(net::buffer(m_input), status);
    m_input.erase(0, size);
    m_needsMore = status == http::error::need_more;
    // The limit of the parser holds for what follows the last whole field only.
    if (isInHead && (m_headBytes += size) > maxHeadBytes) {
        status = http::error::header_limit;
        return false;
    }
    if (isInHead && m_parser->is_header_done() && !isHeadValid(status))
        return false;
    if (m_parser->is_header_done() && !isInterim(m_parser->get().result_int()))
        deliverBody(m_bodyBuffer.size() - body.size);
    if (status == http::error::need_buffer)
        status = {};
    return !status;
}

// Refuses what callers could not read, or could read in another way than this process.
bool Http1ClientExchange::isHeadValid(ErrorStatus &status) const
{
    const auto &message = m_parser->get();
    const bool hasStatus = isStatus(message.result_int());
    const bool isFramed = bodyFraming(message, message.version()) == BodyFraming::Valid;
    if (!hasStatus)
        status = http::error::bad_status;
    else if (!isFramed)
        status = http::error::bad_transfer_encoding;
    return hasStatus && isFramed;
}

void Http1ClientExchange::deliverHead()
{
    const auto &message = m_parser->get();
    const HttpResponse head {static_cast<int>(message.result_int()), toHeaders(message), {}};
    if (!checkHead(head))
        return fail(ErrorCode::Malformed, "the response cannot be attributed to a request");
    m_isFirstResponse = false;
    if (m_isMismatched)
        return;
    m_headDelivered = true;
    runHook(m_hooks.onHead, head);
}

// Returns false if a hook throws. A server that sent one response too many may send more, so the
// connection is not reused after a mismatch.
bool Http1ClientExchange::checkHead(const HttpResponse &head)
{
    const std::function<void()> check = [this, &head] {
        m_isMismatched = m_hooks.matchesRequest && !m_hooks.matchesRequest(head, m_isFirstResponse);
        if (m_isMismatched || (m_hooks.allowsReuse && !m_hooks.allowsReuse(head)))
            m_allowsReuse = false;
    };
    return runHook(check);
}

void Http1ClientExchange::deliverBody(std::size_t bodySize)
{
    if (!m_headDelivered && !m_isMismatched)
        deliverHead();
    if (m_isComplete)
        return;
    if (!m_isMismatched && bodySize > 0)
        runHook(m_hooks.onBody, std::string_view(m_bodyBuffer.data(), bodySize));
    if (m_isMismatched)
        m_skippedBytes += bodySize;
    if (m_skippedBytes > maxSkippedBytes)
        fail(ErrorCode::Malformed, "the response to another request is too long");
}

void Http1ClientExchange::onTimeout()
{
    if (m_writeStarted)
        fail(ErrorCode::Timeout, "timed out before the response was complete");
    else
        fail(ErrorCode::Unavailable, "the connect attempt timed out");
}

// The write may complete after the response has been read. A connection is reused only after the
// whole request has been written, so the exchange waits for that.
void Http1ClientExchange::onResponseComplete()
{
    if (m_writeDone || !m_options.idle)
        return succeed();
    m_responseDone = true;
    m_stepTimer.start(lateWriteTimeout, [self = shared_from_this()] { self->succeed(); });
}

void Http1ClientExchange::succeed()
{
    const bool isReusable =
        m_options.idle && m_allowsReuse && m_writeDone && m_input.empty() && m_parser->keep_alive();
    if (isReusable)
        m_options.idle->put(m_options.endpoint, std::move(m_socket),
                            reuseLifetime(m_parser->get()));
    complete(Done());
}

void Http1ClientExchange::fail(ErrorCode code, const std::string &message)
{
    if (!m_isComplete)
        complete(Error {code, m_options.endpoint.toString() + ": " + message});
}

void Http1ClientExchange::complete(const Result<Done> &result)
{
    m_isComplete = true;
    ErrorStatus ignored;
    m_socket.close(ignored);
    m_stepTimer.cancel();
    m_timer.cancel();
    m_silenceTimer.cancel();
    const StreamHooks hooks = std::exchange(m_hooks, {});
    runHook(hooks.onClosed, result);
}

} // namespace foxtailring
