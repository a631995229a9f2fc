#pragma once

#include "foxtailring/transport/ConnectionCut.h"
#include "foxtailring/transport/HttpLimits.h"
#include "foxtailring/transport/HttpRequest.h"
#include "Net.h"
#include "StrandTimer.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

class Http1ServerExchange;
class RequestMemory;
struct Http1ServerShared;
struct HttpResponse;

/// \brief One accepted HTTP/1.1 connection.
///
/// A read stays pending while a response is produced, to detect that the caller disconnects.
/// Pipelined requests are buffered in m_input; reading pauses while that is full.
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
    bool hasBodyStarted() const { return m_hasBodyStarted; }

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
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void beginRequest();
    void beginHead();
    /// \brief Ends the wait for a request if idle connections are to end.
    void endWaitAtStop();
    void endWait();
    void closeUnused();
    void onReadCancelled();
    bool awaitsAcknowledgement();
    void setExpectsRequest(bool expects);
    void setUsable(bool isUsable);
    void takeLongerLimits();
    void read();
    void onRead(ErrorStatus status, std::size_t size);
    void parse();
    bool canParse() const;
    void parseStep(ErrorStatus &status);
    void takeHead(ErrorStatus &status);
    std::size_t heldBytes() const;
    /// \brief Counts the input that is held. False: it is more than the memory hook allows.
    bool reserveInput();
    void rejectOversized();
    void releaseInput();
    std::shared_ptr<RequestMemory> takeMemory(std::size_t bodyBytes);
    void continueRequest();
    void beginBody();
    std::optional<std::chrono::milliseconds> allowedBodyTime() const;
    std::optional<std::chrono::steady_clock::time_point> bodyEndsAt() const;
    /// True when the time of the body that is arriving is over.
    bool isBodyLate() const;
    void rejectRequest(ErrorStatus status);
    void rejectRequest(int status, std::string_view title, std::string_view detail);
    void rejectWith(HttpResponse response);
    void handleRequest();
    void refuseRequest();
    void writeQueued();
    void writeSome();
    void onWritten(ErrorStatus status, std::size_t size);
    void onResponseWritten();
    void drain();
    void armDrainDeadline();
    void onTimeout();
    bool hasUnreadInput();
    /// \brief Moves a deadline that has passed by shorter limits than those in force.
    bool extendForLimits();
    /// \brief Restarts the deadline at the time at which the caller last took a part of the
    /// response.
    bool extendForReader();
    /// \brief Refuses a request that has not arrived within its time limit.
    void rejectLate();
    std::string lateDetail() const;
    /// \brief Closes the connection and reports the cut, if there is one.
    void cut(ConnectionCut::Cause cause);
    void reportCut(ConnectionCut::Cause cause);
    void reportCut(ConnectionCut::Cause cause, ConnectionCut::Phase phase);
    void reportUnread();
    void reportDiscarded(std::size_t size);
    std::size_t unreadBytes() const;
    ConnectionCut::Phase cutPhase() const;
    /// True when no byte of a request has arrived.
    bool isIdle() const;
    using TimeLimit = std::chrono::milliseconds HttpLimits::*;
    void armDeadline(std::chrono::milliseconds delay);
    void armDeadline(TimeLimit limit);
    std::chrono::steady_clock::time_point deadline() const;
    void startDeadline();
    void startTimer(std::chrono::milliseconds delay);

    Socket m_socket;
    HttpLimits m_limits; ///< of the current request, or of the wait for one
    const std::shared_ptr<Http1ServerShared> m_shared;
    StrandTimer m_deadline;
    TimeLimit m_deadlineLimit = nullptr; ///< that the deadline follows; null: it is fixed
    std::chrono::steady_clock::time_point m_deadlineStartedAt;
    bool m_isOverdue = false; ///< the deadline has passed, input that had arrived is read
    std::chrono::steady_clock::time_point m_drainStartedAt;
    std::size_t m_unacknowledged = 0; ///< of the bytes written, when the deadline was set
    Phase m_phase = Phase::Request;
    std::optional<Parser> m_parser;
    std::vector<HttpHeader> m_headers; ///< of the current request, without trailers
    std::shared_ptr<Http1ServerExchange> m_exchange;
    bool m_continueSent = false;
    bool m_headStarted = false; ///< the first bytes of a head have arrived
    /// Arrival of the head, if the body did not arrive together with it, or a later time as long as
    /// no time was allowed.
    std::optional<std::chrono::steady_clock::time_point> m_bodyStartedAt;
    std::optional<std::chrono::milliseconds> m_bodyTime; ///< allowed from then on
    std::atomic<bool> m_hasBodyStarted = false;          ///< m_bodyStartedAt is set
    bool m_needsMore = false;      ///< the parser has left a part of m_input unread
    bool m_expectsRequest = false; ///< counted in Http1ServerShared::expectedRequestCount
    bool m_isUsable = false;       ///< counted in Http1ServerShared::usableConnectionCount
    std::size_t m_headBytes = 0;   ///< of the current head, as far as it has been parsed
    std::size_t m_fieldCount = 0;  ///< lines of the current head, as far as it has been parsed
    std::shared_ptr<RequestMemory> m_memory; ///< of the input; null: none is held or limited
    /// Of the request whose response is not written yet.
    std::shared_ptr<RequestMemory> m_responseMemory;
    bool m_isInputFull = false;     ///< no more is read until the response is complete
    std::size_t m_arrivedBytes = 0; ///< of the current request and of what follows it
    std::chrono::steady_clock::time_point m_firstByteAt;
    bool m_responseComplete = false;
    bool m_keepAlive = true;

    bool m_isReading = false;
    bool m_isClosingUnused = false; ///< the read is cancelled in order to close the connection
    std::string m_input;
    std::array<char, 8192> m_readBuffer;

    bool m_isWriting = false;
    std::string m_queued;
    std::string m_inFlight;
    std::size_t m_inFlightOffset = 0; ///< bytes of m_inFlight already written
    std::size_t m_queuedPayload = 0;
    std::size_t m_inFlightPayload = 0;
};

} // namespace foxtailring
