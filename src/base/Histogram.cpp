#include "foxtailring/base/Histogram.h"

#include <algorithm>

namespace foxtailring {

Histogram::Histogram(std::span<const double> bounds)
    : m_bounds(bounds.begin(), bounds.end())
    , m_counts(bounds.size() + 1)
{
}

void Histogram::observe(double value)
{
    const auto bucket = std::lower_bound(m_bounds.begin(), m_bounds.end(), value);
    ++m_counts[static_cast<std::size_t>(bucket - m_bounds.begin())];
    m_sum += value;
    ++m_count;
}

} // namespace foxtailring
