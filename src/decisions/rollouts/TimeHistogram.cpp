#include "foxtailring/decisions/rollouts/TimeHistogram.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

constexpr double bucketWidth = 1.25; ///< ratio of a bucket's end to its begin

} // namespace

int TimeHistogram::bucketOf(Duration time)
{
    const double ms = std::chrono::duration<double, std::milli>(time).count();
    if (ms <= 1)
        return 0;
    return std::min(static_cast<int>(std::log(ms) / std::log(bucketWidth)), bucketCount - 1);
}

Duration TimeHistogram::beginOf(int bucket)
{
    const std::chrono::duration<double, std::milli> begin(std::pow(bucketWidth, bucket));
    return std::chrono::duration_cast<Duration>(begin);
}

void TimeHistogram::add(int bucket, std::uint64_t count)
{
    if (count > 0)
        m_buckets[std::clamp(bucket, 0, bucketCount - 1)] += count;
}

void TimeHistogram::merge(const TimeHistogram &other)
{
    for (const auto &[bucket, count] : other.m_buckets)
        m_buckets[bucket] += count;
}

void TimeHistogram::subtract(const TimeHistogram &earlier)
{
    for (const auto &[bucket, count] : earlier.m_buckets) {
        const auto found = m_buckets.find(bucket);
        if (found == m_buckets.end())
            continue;
        if (found->second <= count)
            m_buckets.erase(found);
        else
            found->second -= count;
    }
}

std::uint64_t TimeHistogram::count() const
{
    return countFrom(0);
}

std::uint64_t TimeHistogram::countFrom(int bucket) const
{
    std::uint64_t sum = 0;
    for (auto one = m_buckets.lower_bound(bucket); one != m_buckets.end(); ++one)
        sum += one->second;
    return sum;
}

std::optional<int> TimeHistogram::medianBucket() const
{
    const std::uint64_t half = (count() + 1) / 2;
    std::uint64_t sum = 0;
    for (const auto &[bucket, count] : m_buckets) {
        sum += count;
        if (sum >= half)
            return bucket;
    }
    return std::nullopt;
}

} // namespace foxtailring
