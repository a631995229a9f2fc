#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace foxtailring {

/// \brief Counts observations in buckets with inclusive upper bounds. Not thread-safe.
class Histogram
{
public:
    /// \param bounds ascending upper bounds, in the unit of the observations
    explicit Histogram(std::span<const double> bounds);

    void observe(double value);

    std::span<const double> bounds() const { return m_bounds; }
    /// \brief Observations of each bucket, not cumulative; the last bucket has no upper bound.
    std::span<const std::uint64_t> counts() const { return m_counts; }
    double sum() const { return m_sum; }
    std::uint64_t count() const { return m_count; }

private:
    std::vector<double> m_bounds;
    std::vector<std::uint64_t> m_counts;
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

} // namespace foxtailring
