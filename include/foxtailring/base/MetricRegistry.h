#pragma once

#include "foxtailring/base/Histogram.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Counters, gauges and histograms of one process. Thread-safe.
///
/// A series is named as in Prometheus, labels included: `requests_total{outcome="done"}`. The lock
/// comes last in the lock order: callers may hold any other lock.
class MetricRegistry
{
public:
    void add(std::string_view series, std::int64_t amount = 1);
    void setGauge(std::string_view series, double value);
    void removeGauge(std::string_view series);
    /// \brief Adds \a seconds to a histogram whose bucket bounds run from 1 ms to 60 s.
    void observeSeconds(std::string_view series, double seconds);

    /// \brief Value of a counter; 0 when it does not exist.
    std::int64_t counterValue(std::string_view series) const;

    /// \brief All series in the Prometheus text exposition format 0.0.4.
    std::string prometheusText() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::int64_t, std::less<>> m_counters;
    std::map<std::string, double, std::less<>> m_gauges;
    std::map<std::string, Histogram, std::less<>> m_histograms;
};

} // namespace foxtailring
