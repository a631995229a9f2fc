#include "foxtailring/decisions/membership/RereadPacing.h"

#include <algorithm>

namespace foxtailring {

namespace {

// The rest is for polls and for reads that are repeated.
constexpr double rateShare = 0.5;
constexpr std::chrono::seconds maxSpread {10};

} // namespace

Duration RereadPacing::spread(std::size_t processes, std::size_t calls) const
{
    const double total = static_cast<double>(processes) * static_cast<double>(calls);
    const std::chrono::duration<double> time(total / (m_readsPerSecond * rateShare));
    return std::min<Duration>(std::chrono::duration_cast<Duration>(time), maxSpread);
}

} // namespace foxtailring
