#include "foxtailring/base/LogBudget.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

LogBudget::LogBudget()
    : LogBudget(Settings {})
{
}

LogBudget::LogBudget(Settings settings)
    : m_settings(settings)
{
}

bool LogBudget::take(std::string_view event, TimePoint now)
{
    auto found = m_buckets.find(event);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(event), Bucket {m_settings.burst, now, 0}).first;
    Bucket &bucket = found->second;
    const double seconds = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.lines = std::min(m_settings.burst,
                            bucket.lines + std::max(0.0, seconds) * m_settings.linesPerSecond);
    bucket.filledAt = now;
    if (bucket.lines < 1) {
        ++bucket.omitted;
        return false;
    }
    bucket.lines -= 1;
    return true;
}

std::uint64_t LogBudget::takeOmitted(std::string_view event)
{
    const auto found = m_buckets.find(event);
    return found == m_buckets.end() ? 0 : std::exchange(found->second.omitted, 0);
}

} // namespace foxtailring
