#include "HttpWire.h"

#include "foxtailring/base/AsciiCase.h"

#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace foxtailring {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

template <typename Buffers>
void appendBuffers(std::string &bytes, const Buffers &buffers)
{
    for (const net::const_buffer buffer : beast::buffers_range_ref(buffers))
        bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
}

template <bool isRequest, typename Body>
std::string serialize(const http::message<isRequest, Body> &message, bool headOnly)
{
    http::serializer<isRequest, Body> serializer(message);
    serializer.split(headOnly);
    std::string bytes;
    ErrorStatus status;
    while (!status && !serializer.is_done() && !(headOnly && serializer.is_header_done())) {
        serializer.next(status, [&](ErrorStatus &, const auto &buffers) {
            appendBuffers(bytes, buffers);
            serializer.consume(net::buffer_size(buffers));
        });
    }
    return bytes;
}

bool hasLineBreak(std::string_view text)
{
    return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos;
}

// Headers that are set from the framing and never from the caller's list.
bool isFramingHeader(std::string_view name)
{
    constexpr std::string_view framing[] = {"Connection", "Content-Length", "Keep-Alive",
                                            "Transfer-Encoding", "Upgrade"};
    return std::any_of(std::begin(framing), std::end(framing),
                       [name](std::string_view other) { return equalIgnoringCase(name, other); });
}

// Headers with a line break are dropped, since they could inject another message.
void setHeaders(http::fields &fields, const std::vector<HttpHeader> &headers)
{
    for (const HttpHeader &header : headers) {
        const bool isValid =
            !header.name.empty() && !hasLineBreak(header.name) && !hasLineBreak(header.value);
        if (isValid && !isFramingHeader(header.name))
            fields.insert(header.name, header.value);
    }
}

bool isFinalStatus(int status)
{
    return status >= 200 && status <= 599;
}

bool hasNoBody(unsigned status)
{
    return status == 204 || status == 304;
}

} // namespace

std::vector<HttpHeader> toHeaders(const http::fields &fields)
{
    std::vector<HttpHeader> headers;
    for (const auto &field : fields)
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return headers;
}

bool isStatus(unsigned status)
{
    return status >= 100 && status <= 599;
}

// A status that cannot be sent is an error of this process; the headers belong to another answer.
std::string serializeResponse(HttpResponse response, const ResponseFraming &framing)
{
    if (!isFinalStatus(response.status))
        response = problemResponse(500, "Internal Server Error", "the status is not valid");
    const auto status = static_cast<unsigned>(response.status);
    http::response<http::string_body> message;
    message.version(framing.version);
    message.result(status);
    setHeaders(message, response.headers);
    message.keep_alive(framing.keepAlive);
    if (!hasNoBody(status)) {
        message.body() = std::move(response.body);
        message.prepare_payload();
    }
    return serialize(message, framing.headOnly);
}

std::string serializeStreamHead(int status, const std::vector<HttpHeader> &headers,
                                const ResponseFraming &framing)
{
    http::response<http::empty_body> message;
    message.version(framing.version);
    message.result(isFinalStatus(status) ? static_cast<unsigned>(status) : 500);
    if (isFinalStatus(status))
        setHeaders(message, headers);
    message.keep_alive(framing.keepAlive);
    message.chunked(framing.isChunked());
    return serialize(message, true);
}

std::string encodeChunk(std::string_view body)
{
    std::string bytes;
    appendBuffers(bytes, http::make_chunk(net::buffer(body)));
    return bytes;
}

std::string encodeLastChunk()
{
    std::string bytes;
    appendBuffers(bytes, http::make_chunk_last());
    return bytes;
}

std::string serializeRequest(HttpRequest request, std::string_view host, bool keepAlive)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    setHeaders(message, request.headers);
    if (message.find(http::field::host) == message.end())
        message.set(http::field::host, {host.data(), host.size()});
    message.keep_alive(keepAlive);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return serialize(message, false);
}

bool isSendable(const HttpRequest &request)
{
    const auto isVisible = [](unsigned char c) { return c > ' ' && c != 0x7f; };
    const auto isWord = [isVisible](std::string_view word) {
        return !word.empty() && std::all_of(word.begin(), word.end(), isVisible);
    };
    return isWord(request.method) && isWord(request.target);
}

HttpResponse problemResponse(int status, std::string_view title, std::string_view detail)
{
    const nlohmann::json body = {
        {"type", "about:blank"}, {"title", title}, {"status", status}, {"detail", detail}};
    return {status, {{"Content-Type", "application/problem+json"}}, body.dump()};
}

} // namespace foxtailring
