#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Limits the rate of log lines per event with a token bucket, so that a flood of one event
/// hides no other. Not thread-safe.
class LogRateLimiter
{
public:
    struct Settings
    {
        double linesPerSecond = 100; ///< per event
        double burstLines = 300;     ///< bucket size per event
    };

    LogRateLimiter();
    explicit LogRateLimiter(Settings settings);

    /// \brief Whether a line of \a event may be written at \a now; counts it as omitted if not.
    bool tryAcquire(std::string_view event, TimePoint now);
    /// \brief Number of lines of \a event omitted since the last call.
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
