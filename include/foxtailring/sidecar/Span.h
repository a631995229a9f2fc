#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/TraceContext.h"

#include <functional>
#include <string>

namespace foxtailring {

/// \brief One hop of a request, as it is exported.
struct Span
{
    std::string name;
    TraceContext context;
    std::string parentSpanId; ///< 16 hexadecimal digits; empty: the trace starts here
    TimePoint start;
    Duration duration {};
    std::string outcome; ///< `done`, or the name of an error code
};

using SpanExporter = std::function<void(const Span &)>;

} // namespace foxtailring
