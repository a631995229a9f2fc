#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Bounds the log lines of each event, so that a flood of one hides no other. Not
/// thread-safe.
class LogRateLimiter
{
public:
    struct Settings
    {
        double linesPerSecond = 100; ///< of one event
        double burstLines = 300;     ///< lines of one event after a quiet time
    };

    LogRateLimiter();
    explicit LogRateLimiter(Settings settings);

    /// \brief Whether a line of \a event may be written now; counts it when it may not.
    bool tryAcquire(std::string_view event, TimePoint now);
    /// \brief Lines of \a event that were left out since the last call.
    std::uint64_t takeOmittedCount(std::string_view event);

private:
    struct Bucket
    {
        double availableLines = 0;
        TimePoint refilledAt;
        std::uint64_t omitted = 0;
    };

    const Settings m_settings;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace foxtailring
