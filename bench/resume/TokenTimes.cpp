#include "TokenTimes.h"

#include <algorithm>

namespace foxtailring::bench {

double toMilliseconds(TimePoint::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void TokenTimes::addToken()
{
    m_tokens.push_back(std::chrono::steady_clock::now());
}

void TokenTimes::setFailure()
{
    m_failure = std::chrono::steady_clock::now();
}

double TokenTimes::longestGap() const
{
    const Gap gap = longest();
    return toMilliseconds(gap.end - gap.start);
}

double TokenTimes::untilContinued() const
{
    const Gap gap = longest();
    return toMilliseconds(gap.end - m_failure.value_or(gap.start));
}

double TokenTimes::untilFirst(TimePoint start) const
{
    return m_tokens.empty() ? 0 : toMilliseconds(m_tokens.front() - start);
}

std::vector<double> TokenTimes::gaps() const
{
    std::vector<double> gaps;
    for (std::size_t index = 1; index < m_tokens.size(); ++index)
        gaps.push_back(toMilliseconds(m_tokens[index] - m_tokens[index - 1]));
    return gaps;
}

TokenTimes::Gap TokenTimes::longest() const
{
    Gap longest;
    for (std::size_t index = 1; index < m_tokens.size(); ++index) {
        const TimePoint start = std::max(m_tokens[index - 1], m_failure.value_or(TimePoint::min()));
        const TimePoint end = m_tokens[index];
        if (end - start > longest.end - longest.start)
            longest = {start, end};
    }
    return longest;
}

} // namespace foxtailring::bench
