#pragma once

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/sidecar/Span.h"

#include <mutex>
#include <string_view>

namespace foxtailring {

/// \brief Makes one span for each hop and passes it to an exporter. Thread-safe.
class Tracer
{
public:
    /// \param exporter empty: spans are dropped
    Tracer(const RandomSource &random, Clock clock, SpanExporter exporter);

    /// \brief A child of the span in \a traceparent, or a new trace when that is malformed.
    Span start(std::string name, std::string_view traceparent);
    /// \brief Sets the duration and exports the span.
    void finish(Span span, std::string_view outcome) const;

private:
    std::mutex m_mutex; ///< guards m_random
    RandomSource m_random;
    const Clock m_clock;
    const SpanExporter m_exporter;
};

} // namespace foxtailring
