#pragma once

#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/HttpResponse.h"
#include "Net.h"

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief How a response is framed.
struct ResponseFraming
{
    unsigned version = 11; ///< 10 or 11
    bool keepAlive = true;
    bool headOnly = false; ///< response to a HEAD request

    bool isChunked() const { return version >= 11; }
};

/// \brief True for the status codes of HTTP, 100 to 599.
bool isStatus(unsigned status);

std::vector<HttpHeader> toHeaders(const boost::beast::http::fields &fields);

std::string serializeResponse(HttpResponse response, const ResponseFraming &framing);
std::string serializeStreamHead(int status, const std::vector<HttpHeader> &headers,
                                const ResponseFraming &framing);
/// \brief Encodes \a body, which must not be empty, as one chunk.
std::string encodeChunk(std::string_view body);
std::string encodeLastChunk();
/// Least size of the rest of a chunked body before a chunk header. Given less for a second time,
/// after `0` and CRLF, Beast 1.74 ends the process by an assertion.
constexpr std::size_t minChunkedRestBytes = std::string_view("0\r\n\r\n").size();

/// \brief Adds a Host header unless the request has one.
std::string serializeRequest(HttpRequest request, std::string_view host, bool keepAlive);
/// \brief Returns false if method or target is empty or has spaces or control characters.
bool isSendable(const HttpRequest &request);

/// \brief Returns a response with an RFC 9457 problem body.
HttpResponse problemResponse(int status, std::string_view title, std::string_view detail);

} // namespace foxtailring
