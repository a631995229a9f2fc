#pragma once

#include "foxtailring/transport/HttpRequest.h"
#include "foxtailring/transport/HttpResponse.h"
#include "Net.h"

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief How a response is framed on its connection.
struct ResponseFraming
{
    unsigned version = 11; ///< 10 or 11
    bool keepAlive = true;
    bool headOnly = false; ///< answers a HEAD request

    bool isChunked() const { return version >= 11; }
};

std::vector<HttpHeader> headersOf(const boost::beast::http::fields &fields);

/// \brief Bytes of a whole response.
std::string responseBytes(HttpResponse response, const ResponseFraming &framing);
/// \brief Bytes of the head of a streamed response.
std::string streamHeadBytes(int status, const std::vector<HttpHeader> &headers,
                            const ResponseFraming &framing);
/// \brief \a body as one chunk, which must not be empty.
std::string chunkBytes(std::string_view body);
std::string lastChunkBytes();

/// \brief Bytes of a whole request; adds Host unless the request has one.
std::string requestBytes(HttpRequest request, std::string_view host, bool keepAlive);
/// \brief True when method and target can stand in a request line.
bool isSendable(const HttpRequest &request);

/// \brief An RFC 9457 problem response.
HttpResponse problemResponse(int status, std::string_view title, std::string_view detail);

} // namespace foxtailring
