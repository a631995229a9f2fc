#pragma once

#include "foxtailring/transport/HttpLimits.h"
#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/HttpResponse.h"
#include "HttpWire.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

class RequestMemory;

/// \brief Makes requests of the bytes of one connection, one after the other, within limits of
/// size and memory.
///
/// Bytes behind a request are held until the next one begins.
class Http1RequestReader
{
public:
    using MemoryHook = std::function<std::shared_ptr<RequestMemory>()>;

    /// \param memoryHook counts what is held; may be empty; must outlive the reader
    Http1RequestReader(const HttpLimits &limits, const MemoryHook &memoryHook);
    ~Http1RequestReader();

    /// \brief The next request begins.
    void begin();
    /// \brief Sets the sizes that hold for a request of which nothing has been parsed.
    void setLimits(const HttpLimits &limits);
    void append(std::string_view bytes) { m_input += bytes; }
    /// \brief Parses what is held. Returns the response to a request that cannot be read, or needs
    /// more memory than there is.
    std::optional<HttpResponse> parse();
    /// \brief Counts the bytes behind a request. What memory allows no more of counts as full.
    void holdFollowing();
    /// \brief Returns the request, which is done, with its memory.
    HttpRequest take();
    /// \brief Frees all that is held. Nothing is parsed before the next begin().
    void release();

    /// \brief True from begin() to take() or release().
    bool isReading() const { return m_parser.has_value(); }
    /// \brief True if a part of the request has been parsed.
    bool hasStarted() const { return m_parser && m_parser->got_some(); }
    bool hasHead() const { return m_parser && m_parser->is_header_done(); }
    bool isDone() const { return m_parser->is_done(); }
    /// \brief Bytes that are held and not parsed.
    std::size_t inputSize() const { return m_input.size(); }
    /// \brief True if no more bytes may be appended.
    bool isFull() const { return m_isMemoryFull || m_input.size() >= inputLimit(); }

    /// \brief Method, target and headers of the request, whose head has arrived.
    HttpRequest head() const;
    /// \brief True if the caller waits for 100 Continue before it sends the body.
    bool expectsContinue() const;
    /// \brief How the response to the request, which is done, is framed.
    ResponseFraming responseFraming() const;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    std::size_t inputLimit() const;
    bool canParse() const;
    void parseStep(ErrorStatus &status);
    void takeHead(ErrorStatus &status);
    /// Memory of the fields of the head.
    std::size_t headMemory() const;
    std::size_t heldBytes() const;
    /// \brief Counts the input that is held. False: it is more than the memory hook allows.
    bool reserve();
    std::shared_ptr<RequestMemory> takeMemory(std::size_t bodyBytes);

    HttpLimits m_limits; ///< its sizes hold for the current request
    const MemoryHook &m_memoryHook;
    std::optional<Parser> m_parser;
    std::vector<HttpHeader> m_headers; ///< of the current request, without trailers
    bool m_needsMore = false;          ///< the parser has left a part of m_input unread
    std::size_t m_headBytes = 0;       ///< of the current head, as far as it has been parsed
    std::size_t m_fieldCount = 0;      ///< lines of the current head, as far as it has been parsed
    std::string m_input;
    std::shared_ptr<RequestMemory> m_memory; ///< of the input; null: none is held or limited
    bool m_isMemoryFull = false;             ///< no more is read until the response is complete
};

} // namespace foxtailring
