#include "foxtailring/base/TraceContext.h"

#include <algorithm>

namespace foxtailring {

namespace {

constexpr std::size_t traceIdLength = 32;
constexpr std::size_t spanIdLength = 16;
// Version "00", trace id, span id and flags, joined by dashes.
constexpr std::size_t headerLength = 2 + 1 + traceIdLength + 1 + spanIdLength + 1 + 2;

bool isHexId(std::string_view text)
{
    const bool isHex = std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
    return isHex && text.find_first_not_of('0') != std::string_view::npos;
}

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view traceparent)
{
    if (traceparent.size() != headerLength || !traceparent.starts_with("00-"))
        return std::nullopt;
    if (traceparent[35] != '-' || traceparent[52] != '-')
        return std::nullopt;
    const auto trace = traceparent.substr(3, traceIdLength);
    const auto span = traceparent.substr(36, spanIdLength);
    if (!isHexId(trace) || !isHexId(span))
        return std::nullopt;
    return TraceContext {std::string(trace), std::string(span)};
}

TraceContext TraceContext::startTrace(RandomSource &random)
{
    return TraceContext {random.generateHexId(), random.generateHexId().substr(0, spanIdLength)};
}

TraceContext TraceContext::startSpan(RandomSource &random) const
{
    return TraceContext {traceId, random.generateHexId().substr(0, spanIdLength)};
}

std::string TraceContext::toHeader() const
{
    return "00-" + traceId + '-' + spanId + "-01";
}

} // namespace foxtailring
