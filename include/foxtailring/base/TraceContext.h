#pragma once

#include "foxtailring/base/RandomSource.h"

#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief W3C trace context (https://www.w3.org/TR/trace-context/), version 00.
struct TraceContext
{
    std::string traceId; ///< 32 hexadecimal digits
    std::string spanId;  ///< 16 hexadecimal digits

    /// \brief Parses a `traceparent` header; nothing when it is malformed.
    static std::optional<TraceContext> parse(std::string_view traceparent);

    /// \brief A new trace.
    static TraceContext startTrace(RandomSource &random);

    /// \brief A new span of the same trace.
    TraceContext startSpan(RandomSource &random) const;

    /// \brief Value of the `traceparent` header.
    std::string toHeader() const;
};

} // namespace foxtailring
