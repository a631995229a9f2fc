#include "Http1RequestReader.h"

#include "BodyFraming.h"
#include "foxtailring/base/AsciiCase.h"
#include "foxtailring/transport/RequestMemory.h"
#include "RequestRefusal.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace foxtailring {

namespace http = boost::beast::http;

namespace {

// Input buffered beyond the header limit. More pipelined input stays in the kernel; this also
// limits the length of chunk extensions.
constexpr std::size_t maxExtraInputBytes = 64 * 1024;

// A head is held twice, as fields of the parser and as headers. Many short fields need far more
// memory than their text.
constexpr std::size_t headCopies = 2;
constexpr std::size_t fieldBytes = sizeof(http::fields::value_type) + sizeof(HttpHeader);

} // namespace

Http1RequestReader::Http1RequestReader(const HttpLimits &limits, const MemoryHook &memoryHook)
    : m_limits(limits)
    , m_memoryHook(memoryHook)
{
}

Http1RequestReader::~Http1RequestReader() = default;

void Http1RequestReader::begin()
{
    m_headBytes = 0;
    m_fieldCount = 0;
    m_isMemoryFull = false;
    m_needsMore = false;
    m_parser.emplace();
}

void Http1RequestReader::setLimits(const HttpLimits &limits)
{
    m_limits = limits;
    m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    m_parser->body_limit(limits.maxBodyBytes);
}

std::optional<HttpResponse> Http1RequestReader::parse()
{
    ErrorStatus status;
    while (!status && canParse())
        parseStep(status);
    if (status && status != http::error::need_more)
        return unreadableRequestResponse(status, m_limits);
    if (!reserve())
        return m_memory->refuse();
    if (!isDone() && m_input.size() >= inputLimit())
        return problemResponse(400, "Bad Request", "a chunk header is too long");
    return std::nullopt;
}

std::size_t Http1RequestReader::inputLimit() const
{
    return m_limits.maxHeaderBytes + maxExtraInputBytes;
}

bool Http1RequestReader::canParse() const
{
    const bool isInChunks = m_needsMore && hasHead();
    return m_input.size() >= (isInChunks ? minChunkedRestBytes : 1) && !isDone();
}

// The parser adds trailers to the headers, so the head is taken before it reads any further.
void Http1RequestReader::parseStep(ErrorStatus &status)
{
    const bool isInHead = !hasHead();
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
    if (hasHead())
        takeHead(status);
}

// A body whose end is in doubt is not read: its bytes could run as the next request.
void Http1RequestReader::takeHead(ErrorStatus &status)
{
    const auto &message = m_parser->get();
    m_headers = toHeaders(message);
    const BodyFraming framing = bodyFraming(message, message.version());
    if (!status && framing == BodyFraming::Malformed)
        status = http::error::bad_transfer_encoding;
    else if (!status && framing == BodyFraming::UnknownCoding)
        status = net::error::operation_not_supported;
}

void Http1RequestReader::holdFollowing()
{
    m_isMemoryFull = !reserve();
}

HttpRequest Http1RequestReader::take()
{
    http::request<http::string_body> message = m_parser->release();
    m_parser.reset();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = std::exchange(m_headers, {});
    request.body = std::move(message.body());
    request.memory = takeMemory(request.body.size());
    return request;
}

void Http1RequestReader::release()
{
    std::string().swap(m_input);
    m_parser.reset();
    m_headers.clear();
    m_memory.reset();
    m_isMemoryFull = false;
}

HttpRequest Http1RequestReader::head() const
{
    const auto &message = m_parser->get();
    return {std::string(message.method_string()), std::string(message.target()), m_headers, {}};
}

bool Http1RequestReader::expectsContinue() const
{
    const auto expected = m_parser->get()[http::field::expect];
    return equalIgnoringCase({expected.data(), expected.size()}, "100-continue");
}

ResponseFraming Http1RequestReader::responseFraming() const
{
    const auto &message = m_parser->get();
    return {message.version() >= 11 ? 11U : 10U, message.keep_alive(),
            message.method() == http::verb::head};
}

std::size_t Http1RequestReader::headMemory() const
{
    return headCopies * m_headBytes + fieldBytes * m_fieldCount;
}

std::size_t Http1RequestReader::heldBytes() const
{
    if (!m_parser)
        return m_input.size();
    return m_input.size() + headMemory() + m_parser->get().body().size();
}

bool Http1RequestReader::reserve()
{
    if (!m_memory && m_memoryHook && heldBytes() > 0)
        m_memory = m_memoryHook();
    return !m_memory || m_memory->tryResize(heldBytes());
}

// What follows the request is counted by itself.
std::shared_ptr<RequestMemory> Http1RequestReader::takeMemory(std::size_t bodyBytes)
{
    auto memory = std::exchange(m_memory, nullptr);
    if (memory) {
        memory->tryResize(headMemory() + bodyBytes);
        memory->onArrived();
    }
    holdFollowing();
    return memory;
}

} // namespace foxtailring
