#include "Http1Connection.h"

#include "BodyFraming.h"
#include "foxtailring/base/AsciiCase.h"
#include "foxtailring/transport/RequestMemory.h"
#include "HookGuard.h"
#include "Http1ResponderHandle.h"
#include "Http1ServerExchange.h"
#include "Http1ServerShared.h"
#include "LargeBuffer.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <functional>

namespace foxtailring {

namespace http = boost::beast::http;

namespace {

// Time to read remaining input before the connection is closed: closing with unread input makes the
// kernel reset the connection, and the caller may lose the response. Starts anew with each read, as
// a caller may look for the response only when it has sent all of a long body.
constexpr std::chrono::milliseconds drainTimeout {2000};
constexpr std::chrono::milliseconds maxDrainTime {30'000};

// Time to read input that was in the system's buffer when a deadline passed. A process that was
// paused finds the deadlines of all its connections passed and reads 128 of them first.
constexpr std::chrono::milliseconds lateReadTime {50};

// Time until it is looked again whether the caller has the whole last answer.
constexpr std::chrono::milliseconds acknowledgementInterval {20};

// Input buffered beyond the header limit. More pipelined input stays in the kernel; this also
// limits the length of chunk extensions.
constexpr std::size_t maxExtraInputBytes = 64 * 1024;

// A head is held twice, as fields of the parser and as headers. Many short fields need far more
// memory than their text.
constexpr std::size_t headCopies = 2;
constexpr std::size_t fieldBytes = sizeof(http::fields::value_type) + sizeof(HttpHeader);

HttpRequest takeRequest(http::request<http::string_body> message, std::vector<HttpHeader> headers)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = std::move(headers);
    request.body = std::move(message.body());
    return request;
}

// Another process takes the request at once.
HttpResponse unavailableResponse()
{
    HttpResponse response = problemResponse(
        503, "Service Unavailable", "the request arrived when the process was about to end");
    response.headers.push_back({"Retry-After", "0"});
    return response;
}

} // namespace

Http1Connection::Http1Connection(Socket socket, std::shared_ptr<Http1ServerShared> shared)
    : m_socket(std::move(socket))
    , m_limits(shared->limits())
    , m_shared(std::move(shared))
    , m_deadline(m_socket.get_executor())
{
    setUsable(true);
    setExpectsRequest(true); // callers connect in order to send
}

Http1Connection::~Http1Connection()
{
    // An exchange is still open here only when the worker pool is destroyed.
    if (m_exchange)
        m_exchange->dropHook();
    setExpectsRequest(false);
    setUsable(false);
}

void Http1Connection::start()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_phase == Phase::Closed)
            return;
        self->beginRequest();
        self->read();
        self->endWaitAtStop();
    });
}

void Http1Connection::closeIdle()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] { self->endWaitAtStop(); });
}

void Http1Connection::endWaitAtStop()
{
    if (m_shared->isClosingIdle && m_phase == Phase::Request && m_parser)
        endWait();
}

// Input that has arrived is read first; onRead() comes back here.
void Http1Connection::endWait()
{
    if (unreadBytes() > 0)
        return read();
    if (isIdle())
        return closeUnused();
    reportCut(ConnectionCut::Cause::Stop);
    rejectWith(unavailableResponse());
}

// Nothing is read after the close: a request that crosses it is reset by the system, so its caller
// learns at once that it did not run. A shutdown of the sending side alone would leave the request
// to a process that can no longer answer it. The system may have read a request already whose
// handler waits; only the end of the cancelled read tells.
void Http1Connection::closeUnused()
{
    if (awaitsAcknowledgement())
        return;
    if (!m_isReading)
        return onReadCancelled();
    m_isClosingUnused = true;
    ErrorStatus ignored;
    m_socket.cancel(ignored);
}

void Http1Connection::onReadCancelled()
{
    m_isClosingUnused = false;
    if (unreadBytes() > 0)
        armDeadline(&HttpLimits::idleTimeout);
    else if (!extendForLimits())
        return closeNow();
    read();
}

// A reset that a pipelined request causes could overtake the rest of an answer.
bool Http1Connection::awaitsAcknowledgement()
{
    const auto idleTime = std::chrono::steady_clock::now() - m_deadlineStartedAt;
    if (unacknowledgedBytes(m_socket) == 0 || idleTime >= drainTimeout)
        return false;
    armDeadline(acknowledgementInterval);
    return true;
}

void Http1Connection::setExpectsRequest(bool expects)
{
    if (std::exchange(m_expectsRequest, expects) == expects)
        return;
    if (expects)
        ++m_shared->expectedRequestCount;
    else
        --m_shared->expectedRequestCount;
}

void Http1Connection::setUsable(bool isUsable)
{
    if (std::exchange(m_isUsable, isUsable) == isUsable)
        return;
    if (isUsable)
        ++m_shared->usableConnectionCount;
    else
        --m_shared->usableConnectionCount;
}

void Http1Connection::close()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->reportUnread();
        self->cut(ConnectionCut::Cause::Stop);
    });
}

// Callers may rely on a longer limit as soon as it is in force, and on a shorter one only for what
// they begin after it: an idle connection and a request in progress keep the longest one.
void Http1Connection::extendLimits()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->takeLongerLimits();
        if (self->m_deadlineLimit)
            self->startDeadline();
    });
}

void Http1Connection::takeLongerLimits()
{
    const HttpLimits limits = m_shared->limits();
    for (const TimeLimit limit : {&HttpLimits::idleTimeout, &HttpLimits::headerTimeout})
        m_limits.*limit = std::max(m_limits.*limit, limits.*limit);
    if (m_phase != Phase::Request || !m_bodyStartedAt)
        return;
    const auto time = allowedBodyTime();
    // A body without a time may have taken longer already than its first one allows.
    if (!m_bodyTime)
        m_bodyStartedAt = std::chrono::steady_clock::now();
    m_bodyTime = m_bodyTime && time ? std::max(*m_bodyTime, *time) : time;
}

void Http1Connection::beginRequest()
{
    m_phase = Phase::Request;
    m_continueSent = false;
    m_headStarted = false;
    m_bodyStartedAt.reset();
    m_hasBodyStarted = false;
    m_bodyTime.reset();
    m_headBytes = 0;
    m_fieldCount = 0;
    m_isInputFull = false;
    m_needsMore = false;
    m_responseComplete = false;
    m_arrivedBytes = m_input.size();
    m_firstByteAt = std::chrono::steady_clock::now();
    takeLongerLimits(); // the caller read its last answer perhaps before a limit became shorter
    m_parser.emplace();
    armDeadline(&HttpLimits::idleTimeout);
    if (!m_input.empty())
        parse();
}

// The limits in force now hold for the request, not those from when the connection became idle.
void Http1Connection::beginHead()
{
    setExpectsRequest(true);
    m_limits = m_shared->limits();
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
    m_parser->body_limit(m_limits.maxBodyBytes);
}

void Http1Connection::read()
{
    const std::size_t inputLimit = m_limits.maxHeaderBytes + maxExtraInputBytes;
    if (m_isReading || m_phase == Phase::Closed || m_isInputFull || m_input.size() >= inputLimit)
        return;
    m_isReading = true;
    m_socket.async_read_some(net::buffer(m_readBuffer),
                             [self = shared_from_this()](ErrorStatus status, std::size_t size) {
                                 self->m_isReading = false;
                                 self->onRead(status, size);
                             });
}

void Http1Connection::onRead(ErrorStatus status, std::size_t size)
{
    if (m_phase == Phase::Closed)
        return reportDiscarded(size);
    if (std::exchange(m_isClosingUnused, false) && status == net::error::operation_aborted)
        return onReadCancelled();
    if (status)
        return cut(ConnectionCut::Cause::CallerClosed);
    if (m_arrivedBytes == 0)
        m_firstByteAt = std::chrono::steady_clock::now();
    m_arrivedBytes += size;
    if (m_phase != Phase::Drain)
        m_input.append(m_readBuffer.data(), size);
    if (m_phase == Phase::Request)
        parse();
    else if (m_phase == Phase::Drain)
        armDrainDeadline();
    else if (m_phase == Phase::Response)
        m_isInputFull = !reserveInput();
    read();
    endWaitAtStop();
}

void Http1Connection::parse()
{
    if (!m_parser->got_some())
        beginHead();
    ErrorStatus status;
    while (!status && canParse())
        parseStep(status);
    if (status && status != http::error::need_more)
        return rejectRequest(status);
    if (!reserveInput())
        return rejectOversized();
    if (m_parser->is_done())
        return handleRequest();
    if (m_input.size() >= m_limits.maxHeaderBytes + maxExtraInputBytes)
        return rejectRequest(400, "Bad Request", "a chunk header is too long");
    if (m_parser->is_header_done())
        continueRequest();
    else if (!std::exchange(m_headStarted, true))
        armDeadline(&HttpLimits::headerTimeout);
}

bool Http1Connection::canParse() const
{
    const bool isInChunks = m_needsMore && m_parser->is_header_done();
    return m_input.size() >= (isInChunks ? minChunkedRestBytes : 1) && !m_parser->is_done();
}

// The parser adds trailers to the headers, so the head is taken before it reads any further.
void Http1Connection::parseStep(ErrorStatus &status)
{
    const bool isInHead = !m_parser->is_header_done();
    m_parser->eager(!isInHead);
    const std::size_t size = m_parser->put(net::buffer(m_input), status);
    if (isInHead)
        m_fieldCount += static_cast<std::size_t>(
            std::count(m_input.begin(), m_input.begin() + static_cast<std::ptrdiff_t>(size), '\n'));
    m_input.erase(0, size);
    m_needsMore = status == http::error::need_more;
    if (!isInHead)
        return;
    // The limit of the parser holds for what follows the last whole field only.
    m_headBytes += size;
    if (m_headBytes > m_limits.maxHeaderBytes)
        status = http::error::header_limit;
    if (m_parser->is_header_done())
        takeHead(status);
}

// A body whose end is in doubt is not read: its bytes could run as the next request.
void Http1Connection::takeHead(ErrorStatus &status)
{
    const auto &message = m_parser->get();
    m_headers = toHeaders(message);
    const BodyFraming framing = bodyFraming(message, message.version());
    if (!status && framing == BodyFraming::Malformed)
        status = http::error::bad_transfer_encoding;
    else if (!status && framing == BodyFraming::UnknownCoding)
        status = net::error::operation_not_supported;
}

std::size_t Http1Connection::heldBytes() const
{
    if (m_phase != Phase::Request || !m_parser)
        return m_input.size();
    return m_input.size() + headCopies * m_headBytes + fieldBytes * m_fieldCount
        + m_parser->get().body().size();
}

bool Http1Connection::reserveInput()
{
    if (!m_memory && m_shared->memoryHook && heldBytes() > 0)
        m_memory = m_shared->memoryHook();
    return !m_memory || m_memory->tryResize(heldBytes());
}

void Http1Connection::rejectOversized()
{
    rejectWith(m_memory->refuse());
}

void Http1Connection::releaseInput()
{
    std::string().swap(m_input);
    m_parser.reset();
    m_headers.clear();
    m_memory.reset();
}

// What follows the request is counted by itself.
std::shared_ptr<RequestMemory> Http1Connection::takeMemory(std::size_t bodyBytes)
{
    auto memory = std::exchange(m_memory, nullptr);
    if (memory) {
        memory->tryResize(headCopies * m_headBytes + fieldBytes * m_fieldCount + bodyBytes);
        memory->onArrived();
    }
    m_isInputFull = !reserveInput();
    return memory;
}

// Runs after each read of a body: extends the deadline and sends 100 Continue if it is expected.
void Http1Connection::continueRequest()
{
    if (!m_bodyStartedAt)
        beginBody();
    armDeadline(&HttpLimits::idleTimeout);
    const auto expected = m_parser->get()[http::field::expect];
    if (m_continueSent || !equalIgnoringCase({expected.data(), expected.size()}, "100-continue"))
        return;
    m_continueSent = true;
    send("HTTP/1.1 100 Continue\r\n\r\n", 0);
}

void Http1Connection::beginBody()
{
    m_bodyStartedAt = std::chrono::steady_clock::now();
    // Before the hook is called: whoever changes what it returns then sees this body.
    m_hasBodyStarted = true;
    m_bodyTime = allowedBodyTime();
}

std::optional<std::chrono::milliseconds> Http1Connection::allowedBodyTime() const
{
    std::optional<std::chrono::milliseconds> time;
    if (!m_shared->bodyTimeHook)
        return time;
    const std::function<void()> ask = [this, &time] {
        const auto &message = m_parser->get();
        time = m_shared->bodyTimeHook(
            {std::string(message.method_string()), std::string(message.target()), m_headers, {}});
    };
    runHook(ask);
    return time;
}

std::optional<std::chrono::steady_clock::time_point> Http1Connection::bodyEndsAt() const
{
    if (m_phase != Phase::Request || !m_bodyTime)
        return std::nullopt;
    return *m_bodyStartedAt + *m_bodyTime;
}

bool Http1Connection::isBodyLate() const
{
    const auto endsAt = bodyEndsAt();
    return endsAt && *endsAt <= std::chrono::steady_clock::now();
}

void Http1Connection::rejectRequest(ErrorStatus status)
{
    if (status == http::error::body_limit || status == http::error::buffer_overflow)
        return rejectRequest(413, "Content Too Large",
                             "the body is above " + std::to_string(m_limits.maxBodyBytes)
                                 + " bytes");
    if (status == http::error::header_limit)
        return rejectRequest(431, "Request Header Fields Too Large",
                             "the head is above " + std::to_string(m_limits.maxHeaderBytes)
                                 + " bytes");
    if (status == net::error::operation_not_supported)
        return rejectRequest(501, "Not Implemented", "the transfer coding is not known");
    rejectRequest(400, "Bad Request", status.message());
}

void Http1Connection::rejectRequest(int status, std::string_view title, std::string_view detail)
{
    rejectWith(problemResponse(status, title, detail));
}

void Http1Connection::rejectWith(HttpResponse response)
{
    m_phase = Phase::Response;
    setExpectsRequest(false);
    releaseInput(); // the connection may stay open for maxDrainTime
    send(serializeResponse(std::move(response), {11, false, false}), 0);
    completeResponse(false);
}

void Http1Connection::handleRequest()
{
    http::request<http::string_body> message = m_parser->release();
    m_phase = Phase::Response;
    setExpectsRequest(false);
    m_deadlineLimit = nullptr;
    m_deadline.cancel();
    if (m_shared->isClosed)
        return cut(ConnectionCut::Cause::Stop);
    if (m_shared->isRefusing)
        return refuseRequest();
    const ResponseFraming framing {message.version() >= 11 ? 11U : 10U, message.keep_alive(),
                                   message.method() == http::verb::head};
    m_exchange =
        std::make_shared<Http1ServerExchange>(weak_from_this(), m_socket.get_executor(), framing);
    ++m_shared->openRequestCount;
    HttpRequest request = takeRequest(std::move(message), std::exchange(m_headers, {}));
    request.memory = takeMemory(request.body.size());
    // A caller that reads slowly makes this process hold the response after its request is over.
    m_responseMemory = request.memory;
    // If the handler throws, the destructor of the handle responds with 500.
    runHook(m_shared->handler, std::move(request),
            std::make_shared<Http1ResponderHandle>(m_exchange));
}

void Http1Connection::refuseRequest()
{
    reportCut(ConnectionCut::Cause::Stop, ConnectionCut::Phase::Refused);
    rejectWith(unavailableResponse());
}

void Http1Connection::send(std::string_view bytes, std::size_t payloadBytes)
{
    if (m_phase == Phase::Closed)
        return;
    m_queued += bytes;
    m_queuedPayload += payloadBytes;
    if (!m_isWriting)
        writeQueued();
}

void Http1Connection::completeResponse(bool keepAlive)
{
    if (m_phase == Phase::Closed)
        return;
    m_responseComplete = true;
    m_keepAlive = keepAlive;
    armDeadline(&HttpLimits::idleTimeout);
    if (!m_isWriting)
        onResponseWritten();
}

void Http1Connection::writeQueued()
{
    m_isWriting = true;
    clearBuffer(m_inFlight);
    m_inFlight.swap(m_queued);
    m_inFlightOffset = 0;
    m_inFlightPayload = std::exchange(m_queuedPayload, 0);
    writeSome();
}

void Http1Connection::writeSome()
{
    m_socket.async_write_some(net::buffer(m_inFlight) + m_inFlightOffset,
                              [self = shared_from_this()](ErrorStatus status, std::size_t size) {
                                  self->onWritten(status, size);
                              });
}

void Http1Connection::onWritten(ErrorStatus status, std::size_t size)
{
    if (m_phase == Phase::Closed)
        return;
    if (status)
        return cut(ConnectionCut::Cause::CallerClosed);
    // Any progress extends the deadline, so that a slow caller is not cut off.
    if (m_responseComplete)
        armDeadline(&HttpLimits::idleTimeout);
    m_inFlightOffset += size;
    if (m_inFlightOffset < m_inFlight.size())
        return writeSome();
    m_isWriting = false;
    if (m_exchange)
        m_exchange->pendingBytes -= std::exchange(m_inFlightPayload, 0);
    if (!m_queued.empty())
        writeQueued();
    else if (m_responseComplete && m_phase == Phase::Response)
        onResponseWritten();
}

void Http1Connection::onResponseWritten()
{
    if (m_exchange) {
        m_exchange.reset();
        --m_shared->openRequestCount;
    }
    clearBuffer(m_inFlight);
    m_responseMemory.reset();
    if (!m_keepAlive)
        return drain();
    beginRequest();
    read();
    endWaitAtStop();
}

void Http1Connection::drain()
{
    if (!m_input.empty())
        reportCut(ConnectionCut::Cause::Closing);
    m_phase = Phase::Drain;
    setExpectsRequest(false);
    setUsable(false);
    releaseInput();
    m_isInputFull = false;
    ErrorStatus ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    m_drainStartedAt = std::chrono::steady_clock::now();
    armDrainDeadline();
    read();
}

void Http1Connection::armDrainDeadline()
{
    const auto age = std::chrono::steady_clock::now() - m_drainStartedAt;
    const auto left = std::max(maxDrainTime - age, decltype(age)::zero());
    armDeadline(std::min(drainTimeout, std::chrono::ceil<std::chrono::milliseconds>(left)));
}

void Http1Connection::armDeadline(TimeLimit limit)
{
    m_deadlineLimit = limit;
    m_deadlineStartedAt = std::chrono::steady_clock::now();
    m_unacknowledged = unacknowledgedBytes(m_socket);
    startDeadline();
}

std::chrono::steady_clock::time_point Http1Connection::deadline() const
{
    const auto endsAt = m_deadlineStartedAt + m_limits.*m_deadlineLimit;
    const auto bodyEnd = bodyEndsAt();
    return bodyEnd ? std::min(endsAt, *bodyEnd) : endsAt;
}

void Http1Connection::startDeadline()
{
    const auto left = deadline() - std::chrono::steady_clock::now();
    const auto remaining = std::max(left, decltype(left)::zero());
    m_isOverdue = false;
    startTimer(std::chrono::ceil<std::chrono::milliseconds>(remaining));
}

void Http1Connection::armDeadline(std::chrono::milliseconds delay)
{
    m_deadlineLimit = nullptr;
    startTimer(delay);
}

void Http1Connection::startTimer(std::chrono::milliseconds delay)
{
    m_deadline.start(delay, [self = shared_from_this()] { self->onTimeout(); });
}

// A part of a request is refused: its caller may send the rest and wait for an answer.
void Http1Connection::onTimeout()
{
    if (hasUnreadInput() && !std::exchange(m_isOverdue, true))
        return startTimer(lateReadTime);
    if (extendForLimits())
        return;
    if (isBodyLate())
        return rejectLate();
    if (extendForReader())
        return;
    if (isIdle())
        return closeUnused();
    if (m_phase == Phase::Request)
        return rejectLate();
    cut(ConnectionCut::Cause::IdleTimeout);
}

// Callers rely on a longer limit as soon as it is in force, but the handler of the timer may have
// been queued before, and extendLimits() runs after it then.
bool Http1Connection::extendForLimits()
{
    if (!m_deadlineLimit || m_shared->isClosingIdle)
        return false;
    takeLongerLimits();
    if (deadline() <= std::chrono::steady_clock::now())
        return false;
    startDeadline();
    return true;
}

bool Http1Connection::hasUnreadInput()
{
    return m_isReading && m_phase == Phase::Request && unreadBytes() > 0;
}

std::size_t Http1Connection::unreadBytes() const
{
    ErrorStatus status;
    const std::size_t size = m_socket.available(status);
    return status ? 0 : size;
}

// The socket takes megabytes at once, and more only when a third of its buffer is free: a caller
// that reads steadily may show no progress there for seconds, and turns idle when it has the last
// byte. Acknowledgements alone prove nothing, since a caller that reads nothing acknowledges window
// probes.
bool Http1Connection::extendForReader()
{
    if (m_deadlineLimit != &HttpLimits::idleTimeout || m_unacknowledged == 0)
        return false;
    const std::size_t unacknowledged = unacknowledgedBytes(m_socket);
    const auto quietTime = timeSinceAcknowledgement(m_socket);
    if (unacknowledged >= m_unacknowledged || quietTime >= m_limits.idleTimeout)
        return false;
    m_unacknowledged = unacknowledged;
    m_deadlineStartedAt = std::chrono::steady_clock::now() - quietTime;
    startDeadline();
    return true;
}

void Http1Connection::rejectLate()
{
    ConnectionCut::Cause cause = ConnectionCut::Cause::IdleTimeout;
    if (!m_parser->is_header_done())
        cause = ConnectionCut::Cause::HeaderTimeout;
    else if (isBodyLate())
        cause = ConnectionCut::Cause::BodyTimeout;
    reportCut(cause);
    rejectRequest(408, "Request Timeout", lateDetail());
}

std::string Http1Connection::lateDetail() const
{
    const auto text = [](std::chrono::milliseconds time) {
        return std::to_string(time.count()) + " ms";
    };
    if (!m_parser->is_header_done())
        return "the head did not arrive within " + text(m_limits.headerTimeout);
    if (isBodyLate())
        return "the body did not arrive within " + text(*m_bodyTime);
    return "no part of the body arrived within " + text(m_limits.idleTimeout);
}

void Http1Connection::cut(ConnectionCut::Cause cause)
{
    if (m_phase == Phase::Request || m_phase == Phase::Response)
        reportCut(cause);
    closeNow();
}

void Http1Connection::reportCut(ConnectionCut::Cause cause)
{
    if (m_arrivedBytes > 0)
        reportCut(cause, cutPhase());
}

void Http1Connection::reportCut(ConnectionCut::Cause cause, ConnectionCut::Phase phase)
{
    const auto age = std::chrono::steady_clock::now() - m_firstByteAt;
    runHook(m_shared->cutHook,
            ConnectionCut {cause, phase, m_arrivedBytes,
                           std::chrono::duration_cast<std::chrono::milliseconds>(age)});
}

// Tells a request that was never read from one that was read: the first may be sent again safely.
void Http1Connection::reportUnread()
{
    if (!isIdle())
        return;
    if (const std::size_t size = unreadBytes())
        runHook(m_shared->cutHook,
                ConnectionCut {ConnectionCut::Cause::Stop, ConnectionCut::Phase::Unread, size, {}});
}

// The socket is read before the handler of the read runs, so a close may come between them.
void Http1Connection::reportDiscarded(std::size_t size)
{
    if (size > 0 && m_arrivedBytes == 0)
        runHook(m_shared->cutHook,
                ConnectionCut {
                    ConnectionCut::Cause::Closing, ConnectionCut::Phase::Discarded, size, {}});
}

ConnectionCut::Phase Http1Connection::cutPhase() const
{
    if (m_phase == Phase::Drain)
        return ConnectionCut::Phase::Closing;
    if (m_phase == Phase::Response)
        return ConnectionCut::Phase::Response;
    return m_parser->is_header_done() ? ConnectionCut::Phase::Body : ConnectionCut::Phase::Head;
}

bool Http1Connection::isIdle() const
{
    return m_phase == Phase::Request && m_input.empty() && !(m_parser && m_parser->got_some());
}

bool Http1Connection::isClosing() const
{
    return m_shared->isStopping || m_shared->isClosing;
}

// A response that ends with the connection and is not written whole must not end in order.
void Http1Connection::closeNow()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    releaseInput();
    m_responseMemory.reset();
    setExpectsRequest(false);
    setUsable(false);
    ErrorStatus ignored;
    if (m_exchange && m_exchange->endsWithConnection())
        m_socket.set_option(net::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_deadlineLimit = nullptr;
    m_deadline.cancel();
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        --m_shared->openRequestCount;
        exchange->pendingBytes -= m_inFlightPayload + m_queuedPayload;
        exchange->onDisconnected();
    }
}

} // namespace foxtailring
