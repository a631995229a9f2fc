#include "Http1Connection.h"

#include "HookGuard.h"
#include "Http1ResponderHandle.h"
#include "Http1ServerExchange.h"
#include "Http1ServerShared.h"
#include "RequestRefusal.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <functional>

namespace foxtailring {

namespace {

// Time until it is looked again whether the caller has the whole last answer.
constexpr std::chrono::milliseconds acknowledgementInterval {20};

// Time until it is looked again whether the caller has reset a connection that is not read.
constexpr std::chrono::milliseconds resetCheckInterval {1000};

} // namespace

Http1Connection::Http1Connection(Socket socket, std::shared_ptr<Http1ServerShared> shared)
    : m_socket(std::move(socket))
    , m_limits(shared->limits())
    , m_shared(std::move(shared))
    , m_deadline(m_socket, m_limits, deadlineHooks())
    , m_reader(m_limits, m_shared->memoryHook)
    , m_expectsRequest(m_shared->expectedRequestCount)
    , m_isUsable(m_shared->usableConnectionCount)
    , m_isRequestOpen(m_shared->openRequestCount)
    , m_cutReporter(m_shared->cutHook)
{
    m_isUsable.set(true);
    m_expectsRequest.set(true); // callers connect in order to send
}

Http1Connection::~Http1Connection()
{
    // An exchange is still open here only when the worker pool is destroyed.
    if (m_exchange)
        m_exchange->dropHook();
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
    if (m_shared->isClosingIdle && m_phase == Phase::Request && m_reader.isReading())
        endWait();
}

// Input that has arrived is read first; onRead() comes back here.
void Http1Connection::endWait()
{
    if (unreadBytes(m_socket) > 0)
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
    if (unreadBytes(m_socket) > 0)
        m_deadline.arm(&HttpLimits::idleTimeout);
    else if (!extendForLimits())
        return closeNow();
    read();
}

// A reset that a pipelined request causes could overtake the rest of an answer.
bool Http1Connection::awaitsAcknowledgement()
{
    if (unacknowledgedBytes(m_socket) == 0 || m_deadline.age() >= DrainPeriod::quietTime)
        return false;
    m_deadline.arm(acknowledgementInterval);
    return true;
}

void Http1Connection::close()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->isIdle())
            self->m_cutReporter.reportUnread(unreadBytes(self->m_socket));
        self->cut(ConnectionCut::Cause::Stop);
    });
}

// Callers may rely on a longer limit as soon as it is in force, and on a shorter one only for what
// they begin after it: an idle connection and a request in progress keep the longest one.
void Http1Connection::extendLimits()
{
    net::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->takeLongerLimits();
        self->m_deadline.update();
    });
}

void Http1Connection::takeLongerLimits()
{
    const HttpLimits limits = m_shared->limits();
    for (const auto limit : {&HttpLimits::idleTimeout, &HttpLimits::headerTimeout})
        m_limits.*limit = std::max(m_limits.*limit, limits.*limit);
    if (m_phase != Phase::Request || !m_bodyDeadline.hasBegun())
        return;
    const auto time = allowedBodyTime();
    m_bodyDeadline.extend(time, std::chrono::steady_clock::now());
}

void Http1Connection::beginRequest()
{
    m_phase = Phase::Request;
    m_continueSent = false;
    m_headStarted = false;
    m_bodyDeadline.reset();
    m_responseComplete = false;
    m_cutReporter.beginRequest(m_reader.inputSize());
    takeLongerLimits(); // the caller read its last answer perhaps before a limit became shorter
    m_reader.begin();
    m_deadline.arm(&HttpLimits::idleTimeout);
    if (m_reader.inputSize() > 0)
        parse();
}

// The limits in force now hold for the request, not those from when the connection became idle.
void Http1Connection::beginHead()
{
    m_expectsRequest.set(true);
    m_limits = m_shared->limits();
    m_reader.setLimits(m_limits);
}

// The server holds its connections by weak references: without a read, a write or a timer in
// progress, nothing else holds this one.
void Http1Connection::watchCaller()
{
    if (m_phase != Phase::Response || m_responseComplete)
        return;
    if (isReset(m_socket))
        return cut(ConnectionCut::Cause::CallerClosed);
    m_deadline.arm(resetCheckInterval);
}

void Http1Connection::read()
{
    if (m_isReading || m_phase == Phase::Closed)
        return;
    if (m_reader.isFull())
        return watchCaller();
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
        return m_cutReporter.reportDiscarded(size);
    if (std::exchange(m_isClosingUnused, false) && status == net::error::operation_aborted)
        return onReadCancelled();
    if (status)
        return cut(ConnectionCut::Cause::CallerClosed);
    m_cutReporter.addBytes(size);
    if (m_phase != Phase::Drain)
        m_reader.append({m_readBuffer.data(), size});
    if (m_phase == Phase::Request)
        parse();
    else if (m_phase == Phase::Drain)
        m_deadline.arm(m_drainPeriod.timeLeft(std::chrono::steady_clock::now()));
    else if (m_phase == Phase::Response)
        m_reader.holdFollowing();
    read();
    endWaitAtStop();
}

void Http1Connection::parse()
{
    if (!m_reader.hasStarted())
        beginHead();
    if (auto refusal = m_reader.parse())
        return rejectWith(std::move(*refusal));
    if (m_reader.isDone())
        return handleRequest();
    if (m_reader.hasHead())
        continueRequest();
    else if (!std::exchange(m_headStarted, true))
        m_deadline.arm(&HttpLimits::headerTimeout);
}

// Runs after each read of a body: extends the deadline and sends 100 Continue if it is expected.
void Http1Connection::continueRequest()
{
    if (!m_bodyDeadline.hasBegun())
        beginBody();
    m_deadline.arm(&HttpLimits::idleTimeout);
    if (m_continueSent || !m_reader.expectsContinue())
        return;
    m_continueSent = true;
    send("HTTP/1.1 100 Continue\r\n\r\n", 0);
}

void Http1Connection::beginBody()
{
    // Before the hook is called: whoever changes what it returns then sees this body.
    m_bodyDeadline.begin(std::chrono::steady_clock::now());
    m_bodyDeadline.setLimit(allowedBodyTime());
}

std::optional<std::chrono::milliseconds> Http1Connection::allowedBodyTime() const
{
    std::optional<std::chrono::milliseconds> time;
    if (!m_shared->bodyTimeHook)
        return time;
    const std::function<void()> ask = [this, &time] {
        time = m_shared->bodyTimeHook(m_reader.head());
    };
    runHook(ask);
    return time;
}

std::optional<std::chrono::steady_clock::time_point> Http1Connection::bodyEndsAt() const
{
    if (m_phase != Phase::Request)
        return std::nullopt;
    return m_bodyDeadline.endsAt();
}

bool Http1Connection::isBodyLate() const
{
    const auto endsAt = bodyEndsAt();
    return endsAt && *endsAt <= std::chrono::steady_clock::now();
}

void Http1Connection::rejectWith(HttpResponse response)
{
    m_phase = Phase::Response;
    m_expectsRequest.set(false);
    m_reader.release(); // the connection may stay open for DrainPeriod::longestTime
    send(serializeResponse(std::move(response), {11, false, false}), 0);
    completeResponse(false);
}

void Http1Connection::handleRequest()
{
    m_phase = Phase::Response;
    m_expectsRequest.set(false);
    m_deadline.cancel();
    if (m_shared->isClosed)
        return cut(ConnectionCut::Cause::Stop);
    if (m_shared->isRefusing)
        return refuseRequest();
    m_exchange = std::make_shared<Http1ServerExchange>(weak_from_this(), m_socket.get_executor(),
                                                       m_reader.responseFraming());
    m_isRequestOpen.set(true);
    HttpRequest request = m_reader.take();
    // A caller that reads slowly makes this process hold the response after its request is over.
    m_responseMemory = request.memory;
    // If the handler throws, the destructor of the handle responds with 500.
    runHook(m_shared->handler, std::move(request),
            std::make_shared<Http1ResponderHandle>(m_exchange));
}

void Http1Connection::refuseRequest()
{
    m_cutReporter.report(ConnectionCut::Cause::Stop, ConnectionCut::Phase::Refused);
    rejectWith(unavailableResponse());
}

void Http1Connection::send(std::string_view bytes, std::size_t payloadBytes)
{
    if (m_phase == Phase::Closed)
        return;
    m_output.add(bytes, payloadBytes);
    if (!m_output.isWriting())
        writeQueued();
}

void Http1Connection::completeResponse(bool keepAlive)
{
    if (m_phase == Phase::Closed)
        return;
    m_responseComplete = true;
    m_keepAlive = keepAlive;
    m_deadline.arm(&HttpLimits::idleTimeout);
    if (!m_output.isWriting())
        onResponseWritten();
}

void Http1Connection::writeQueued()
{
    m_output.startBatch();
    writeSome();
}

void Http1Connection::writeSome()
{
    m_socket.async_write_some(m_output.rest(),
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
        m_deadline.arm(&HttpLimits::idleTimeout);
    if (!m_output.onWritten(size))
        return writeSome();
    if (m_exchange)
        m_exchange->pendingBytes -= m_output.takeWrittenPayload();
    if (m_output.hasWaiting())
        writeQueued();
    else if (m_responseComplete && m_phase == Phase::Response)
        onResponseWritten();
}

void Http1Connection::onResponseWritten()
{
    m_exchange.reset();
    m_isRequestOpen.set(false);
    m_output.releaseBatch();
    m_responseMemory.reset();
    if (!m_keepAlive)
        return drain();
    beginRequest();
    read();
    endWaitAtStop();
}

void Http1Connection::drain()
{
    if (m_reader.inputSize() > 0)
        reportCut(ConnectionCut::Cause::Closing);
    m_phase = Phase::Drain;
    m_expectsRequest.set(false);
    m_isUsable.set(false);
    m_reader.release();
    ErrorStatus ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    m_drainPeriod.begin(std::chrono::steady_clock::now());
    m_deadline.arm(m_drainPeriod.timeLeft(std::chrono::steady_clock::now()));
    read();
}

ConnectionDeadline::Hooks Http1Connection::deadlineHooks()
{
    return {[this] { return [self = shared_from_this()] { self->onTimeout(); }; },
            [this] { return bodyEndsAt(); }};
}

// A part of a request is refused: its caller may send the rest and wait for an answer.
void Http1Connection::onTimeout()
{
    if (m_phase == Phase::Response && !m_responseComplete)
        return watchCaller();
    if (hasUnreadInput() && m_deadline.extendForInput())
        return;
    if (extendForLimits())
        return;
    if (isBodyLate())
        return rejectLate();
    if (m_deadline.extendForReader())
        return;
    if (isIdle())
        return closeUnused();
    if (m_phase == Phase::Request)
        return rejectLate();
    cut(ConnectionCut::Cause::IdleTimeout);
}

// The handler of the timer may have been queued before a limit was changed, and extendLimits() runs
// after it then.
bool Http1Connection::extendForLimits()
{
    if (!m_deadline.followsLimit() || m_shared->isClosingIdle)
        return false;
    takeLongerLimits();
    return m_deadline.extendForLimits();
}

bool Http1Connection::hasUnreadInput()
{
    return m_isReading && m_phase == Phase::Request && unreadBytes(m_socket) > 0;
}

void Http1Connection::rejectLate()
{
    if (!m_reader.hasHead())
        return rejectLate(ConnectionCut::Cause::HeaderTimeout,
                          lateHeadResponse(m_limits.headerTimeout));
    if (isBodyLate())
        return rejectLate(ConnectionCut::Cause::BodyTimeout,
                          lateBodyResponse(*m_bodyDeadline.limit()));
    rejectLate(ConnectionCut::Cause::IdleTimeout, stalledBodyResponse(m_limits.idleTimeout));
}

void Http1Connection::rejectLate(ConnectionCut::Cause cause, HttpResponse response)
{
    reportCut(cause);
    rejectWith(std::move(response));
}

void Http1Connection::cut(ConnectionCut::Cause cause)
{
    if (m_phase == Phase::Request || m_phase == Phase::Response)
        reportCut(cause);
    closeNow();
}

void Http1Connection::reportCut(ConnectionCut::Cause cause)
{
    m_cutReporter.report(cause, cutPhase());
}

ConnectionCut::Phase Http1Connection::cutPhase() const
{
    if (m_phase == Phase::Drain)
        return ConnectionCut::Phase::Closing;
    if (m_phase == Phase::Response)
        return ConnectionCut::Phase::Response;
    return m_reader.hasHead() ? ConnectionCut::Phase::Body : ConnectionCut::Phase::Head;
}

bool Http1Connection::isIdle() const
{
    return m_phase == Phase::Request && m_reader.inputSize() == 0 && !m_reader.hasStarted();
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
    m_reader.release();
    m_responseMemory.reset();
    m_expectsRequest.set(false);
    m_isUsable.set(false);
    ErrorStatus ignored;
    if (m_exchange && m_exchange->endsWithConnection())
        m_socket.set_option(net::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
    m_deadline.cancel();
    m_isRequestOpen.set(false);
    if (const auto exchange = std::exchange(m_exchange, nullptr)) {
        exchange->pendingBytes -= m_output.payloadBytes();
        exchange->onDisconnected();
    }
}

} // namespace foxtailring
