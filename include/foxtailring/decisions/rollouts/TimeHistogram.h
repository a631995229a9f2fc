#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace foxtailring {

/// \brief Counts of durations in buckets that each are a quarter wider than the one before.
class TimeHistogram
{
public:
    static constexpr int bucketCount = 60; ///< the last one begins at about 9 minutes

    static int bucketOf(Duration time);
    /// \brief The shortest time of the bucket.
    static Duration beginOf(int bucket);

    void record(Duration time) { add(bucketOf(time), 1); }
    /// \brief Buckets out of range are counted in the nearest one.
    void add(int bucket, std::uint64_t count);
    void merge(const TimeHistogram &other);
    /// \brief Subtracts the counts of an earlier state; counts do not fall below 0.
    void subtract(const TimeHistogram &earlier);

    std::uint64_t count() const;
    /// \brief Number of durations in \a bucket and later ones.
    std::uint64_t countFrom(int bucket) const;
    /// \brief Bucket of the median; none without durations.
    std::optional<int> medianBucket() const;
    const std::map<int, std::uint64_t> &buckets() const { return m_buckets; }

    bool operator==(const TimeHistogram &) const = default;

private:
    std::map<int, std::uint64_t> m_buckets; ///< without empty ones
};

} // namespace foxtailring
