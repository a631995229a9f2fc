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

    /// \brief Parses a `traceparent` header; nullopt when it is malformed or of another version.
    static std::optional<TraceContext> parse(std::string_view traceparent);

    /// \brief Root span of a new trace.
    static TraceContext startTrace(RandomSource &random);

    /// \brief Child span in the same trace.
    TraceContext startSpan(RandomSource &random) const;

    /// \brief Value for a `traceparent` header, with the sampled flag set.
    std::string toHeader() const;
};

} // namespace foxtailring
