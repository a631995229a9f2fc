#include "foxtailring/base/LogRateLimiter.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

LogRateLimiter::LogRateLimiter()
    : LogRateLimiter(Settings {})
{
}

LogRateLimiter::LogRateLimiter(Settings settings)
    : m_settings(settings)
{
}

bool LogRateLimiter::tryAcquire(std::string_view event, TimePoint now)
{
    auto found = m_buckets.find(event);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(event), Bucket {m_settings.burstLines, now, 0}).first;
    Bucket &bucket = found->second;
    const double elapsedSeconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.availableLines =
        std::min(m_settings.burstLines,
                 bucket.availableLines + std::max(0.0, elapsedSeconds) * m_settings.linesPerSecond);
    bucket.refilledAt = now;
    if (bucket.availableLines < 1) {
        ++bucket.omitted;
        return false;
    }
    bucket.availableLines -= 1;
    return true;
}

std::uint64_t LogRateLimiter::takeOmittedCount(std::string_view event)
{
    const auto found = m_buckets.find(event);
    return found == m_buckets.end() ? 0 : std::exchange(found->second.omitted, 0);
}

} // namespace foxtailring
