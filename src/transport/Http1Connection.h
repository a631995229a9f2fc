#pragma once

#include "BodyDeadline.h"
#include "ConnectionDeadline.h"
#include "CountedFlag.h"
#include "CutReporter.h"
#include "DrainPeriod.h"
#include "foxtailring/transport/ConnectionCut.h"
#include "foxtailring/transport/HttpLimits.h"
#include "foxtailring/transport/HttpRequest.h"
#include "Http1RequestReader.h"
#include "Net.h"
#include "OutputQueue.h"

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string_view>

namespace foxtailring {

class Http1ServerExchange;
class RequestMemory;
struct Http1ServerShared;
struct HttpResponse;

/// \brief One accepted HTTP/1.1 connection.
///
/// A read stays pending while a response is produced, to detect that the caller disconnects.
/// Pipelined requests are held by the reader; reading pauses while that is full, and the
/// connection looks for a reset at intervals instead.
class Http1Connection : public std::enable_shared_from_this<Http1Connection>
{
public:
    Http1Connection(Socket socket, std::shared_ptr<Http1ServerShared> shared);
    ~Http1Connection();

    // Thread-safe.
    void start();
    /// \brief Closes the connection at once unless a request has arrived, read or not. A part of
    /// one is refused.
    void closeIdle();
    void close();
    /// \brief Lets longer time limits of the server apply to what this connection waits for.
    void extendLimits();
    /// \brief True if the current request has a body that did not arrive together with its head.
    bool hasBodyStarted() const { return m_bodyDeadline.hasBegun(); }

    // On the strand, called by the exchange.
    void send(std::string_view bytes, std::size_t payloadBytes);
    void completeResponse(bool keepAlive);
    /// \brief Closes the connection. It is reset if the caller could mistake the close for the end
    /// of a body.
    void closeNow();
    /// \brief True when the next response is the last one on this connection.
    bool isClosing() const;

private:
    enum class Phase { Request, Response, Drain, Closed };

    void beginRequest();
    void beginHead();
    /// \brief Ends the wait for a request if idle connections are to end.
    void endWaitAtStop();
    void endWait();
    void closeUnused();
    void onReadCancelled();
    bool awaitsAcknowledgement();
    void takeLongerLimits();
    /// \brief Detects a reset while nothing is read, and holds the connection until the response.
    void watchCaller();
    void read();
    void onRead(ErrorStatus status, std::size_t size);
    void parse();
    void continueRequest();
    void beginBody();
    std::optional<std::chrono::milliseconds> allowedBodyTime() const;
    std::optional<std::chrono::steady_clock::time_point> bodyEndsAt() const;
    /// True when the time of the body that is arriving is over.
    bool isBodyLate() const;
    void rejectWith(HttpResponse response);
    void handleRequest();
    void refuseRequest();
    void writeQueued();
    void writeSome();
    void onWritten(ErrorStatus status, std::size_t size);
    void onResponseWritten();
    void drain();
    void onTimeout();
    bool hasUnreadInput();
    /// \brief Moves a deadline that has passed by shorter limits than those in force.
    bool extendForLimits();
    /// \brief Refuses a request that has not arrived within its time limit.
    void rejectLate();
    void rejectLate(ConnectionCut::Cause cause, HttpResponse response);
    /// \brief Closes the connection and reports the cut, if there is one.
    void cut(ConnectionCut::Cause cause);
    void reportCut(ConnectionCut::Cause cause);
    ConnectionCut::Phase cutPhase() const;
    /// True when no byte of a request has arrived.
    bool isIdle() const;
    ConnectionDeadline::Hooks deadlineHooks();

    Socket m_socket;
    HttpLimits m_limits; ///< of the current request, or of the wait for one
    const std::shared_ptr<Http1ServerShared> m_shared;
    ConnectionDeadline m_deadline;
    BodyDeadline m_bodyDeadline;
    DrainPeriod m_drainPeriod;
    Phase m_phase = Phase::Request;
    Http1RequestReader m_reader;
    std::shared_ptr<Http1ServerExchange> m_exchange;
    bool m_continueSent = false;
    bool m_headStarted = false;   ///< the first bytes of a head have arrived
    CountedFlag m_expectsRequest; ///< counted in Http1ServerShared::expectedRequestCount
    CountedFlag m_isUsable;       ///< counted in Http1ServerShared::usableConnectionCount
    CountedFlag m_isRequestOpen;  ///< counted in Http1ServerShared::openRequestCount
    CutReporter m_cutReporter;
    /// Of the request whose response is not written yet.
    std::shared_ptr<RequestMemory> m_responseMemory;
    bool m_responseComplete = false;
    bool m_keepAlive = true;

    bool m_isReading = false;
    bool m_isClosingUnused = false; ///< the read is cancelled in order to close the connection
    std::array<char, 8192> m_readBuffer;

    OutputQueue m_output;
};

} // namespace foxtailring
