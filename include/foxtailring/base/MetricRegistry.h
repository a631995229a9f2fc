#pragma once

#include "foxtailring/base/Histogram.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Registry of counters, gauges and histograms of one process. Thread-safe.
///
/// A series is named in the Prometheus way, labels included: `requests_total{outcome="done"}`.
/// Its lock is the last one of the lock order.
class MetricRegistry
{
public:
    void add(std::string_view series, std::int64_t amount = 1);
    void setGauge(std::string_view series, double value);
    /// \brief Adds \a seconds to a latency histogram with fixed bounds from 1 ms to 60 s.
    void observeSeconds(std::string_view series, double seconds);

    /// \brief Present value of a counter; 0 when it was never added to.
    std::int64_t counterValue(std::string_view series) const;

    /// \brief All series in the Prometheus text format, version 0.0.4.
    std::string prometheusText() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::int64_t, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
    std::map<std::string, Histogram, std::less<>> m_histograms;
};

} // namespace foxtailring
