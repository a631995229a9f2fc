#pragma once

#include "foxtailring/transport/Endpoint.h"
#include "foxtailring/transport/ExchangeOptions.h"
#include "foxtailring/transport/StreamHooks.h"
#include "Net.h"
#include "StrandTimer.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace foxtailring {

class IdleConnections;

/// \brief One request and its response on one connection of an Http1Client.
class Http1ClientExchange : public std::enable_shared_from_this<Http1ClientExchange>
{
public:
    struct Options
    {
        Endpoint endpoint;
        std::string requestBytes;
        bool isHead = false; ///< the response has no body
        ExchangeOptions exchange;
        /// Of the whole exchange; none: unlimited.
        std::optional<std::chrono::milliseconds> timeout;
        /// Takes the connection after the exchange; null: the connection is closed.
        std::shared_ptr<IdleConnections> idle;
    };

    /// \param socket a connection to reuse, or a socket that is not open yet
    Http1ClientExchange(Socket socket, Options options, StreamHooks hooks);

    // Thread-safe.
    void start();
    void cancel(ErrorCode code, std::string message);

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    void connect();
    void onConnected(ErrorStatus status);
    void write();
    void onWritten(ErrorStatus status, std::size_t size);
    void read();
    void onRead(ErrorStatus status, std::size_t size);
    void onReadError(ErrorStatus status);
    /// \brief True if the response ended with the connection, and a reset may still follow.
    bool mayBeResetLater();
    /// \brief Looks again a little later whether the request has arrived whole.
    void awaitArrival();
    void resetParser();
    void parse();
    bool canParse() const;
    bool parseStep(ErrorStatus &status);
    bool isHeadValid(ErrorStatus &status) const;
    void deliverHead();
    bool checkHead(const HttpResponse &head);
    void deliverBody(std::size_t bodySize);
    void startNextResponse();
    void onTimeout();
    void onResponseComplete();
    void succeed();
    void fail(ErrorCode code, const std::string &message);
    void complete(const Result<Done> &result);

    Socket m_socket;
    Options m_options;
    StreamHooks m_hooks;
    StrandTimer m_stepTimer; ///< of connecting, later of a late write or an early end
    StrandTimer m_timer;     ///< timeout of the whole exchange
    StrandTimer m_silenceTimer;
    std::optional<Parser> m_parser;
    bool m_writeStarted = false;
    bool m_writeDone = false;
    bool m_writeTimedOut = false; ///< the peer acknowledged nothing for too long
    bool m_writeEnded = false;
    bool m_readWaitsForWrite = false;
    std::chrono::milliseconds m_arrivalWait {0}; ///< since the end of the response
    bool m_responseDone = false;
    bool m_headDelivered = false;
    bool m_isFirstResponse;      ///< no response came on the connection before
    bool m_isMismatched = false; ///< the response being read belongs to another request
    bool m_allowsReuse = true;   ///< the connection may carry another request
    bool m_isComplete = false;
    bool m_needsMore = false;       ///< the parser has left a part of m_input unread
    std::size_t m_headBytes = 0;    ///< of the current head, as far as it has been parsed
    int m_skippedHeads = 0;         ///< interim responses, and responses to other requests
    std::size_t m_skippedBytes = 0; ///< body bytes of responses to other requests
    std::string m_input;
    std::array<char, 8192> m_readBuffer;
    std::array<char, 8192> m_bodyBuffer;
};

} // namespace foxtailring
