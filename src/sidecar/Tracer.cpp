#include "foxtailring/sidecar/Tracer.h"

#include <utility>

namespace foxtailring {

Tracer::Tracer(const RandomSource &random, Clock clock, SpanExporter exporter)
    : m_random(random)
    , m_clock(std::move(clock))
    , m_exporter(std::move(exporter))
{
}

Span Tracer::start(std::string name, std::string_view traceparent)
{
    Span span;
    span.name = std::move(name);
    span.start = m_clock();
    const auto parent = TraceContext::parse(traceparent);
    if (parent)
        span.parentSpanId = parent->spanId;
    const std::lock_guard lock(m_mutex);
    span.context = parent ? parent->startSpan(m_random) : TraceContext::startTrace(m_random);
    return span;
}

void Tracer::finish(Span span, std::string_view outcome) const
{
    if (!m_exporter)
        return;
    span.duration = m_clock() - span.start;
    span.outcome = outcome;
    m_exporter(span);
}

} // namespace foxtailring
