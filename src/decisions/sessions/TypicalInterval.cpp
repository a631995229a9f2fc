#include "foxtailring/decisions/sessions/TypicalInterval.h"

#include <algorithm>

namespace foxtailring {

void TypicalInterval::add(Duration interval)
{
    if (!isComplete())
        m_intervals[m_taken++] = interval;
}

// While the engine processes the prompt of another run, intervals are several times longer, and
// after a slow hop several events arrive at once. The median of a second of work is neither.
Duration TypicalInterval::median() const
{
    std::array<Duration, count> sorted = m_intervals;
    const auto middle = sorted.begin() + count / 2;
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace foxtailring
