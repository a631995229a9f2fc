#include "foxtailring/decisions/sessions/SecondAttempts.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxtailring {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double slowQuantile = 0.97;
// The quantile of fewer times is that of one or two calls.
constexpr std::uint32_t minAnswers = 50;
constexpr std::chrono::seconds answerWindow {30};
constexpr double firstBound = 0.0001; // seconds
constexpr double boundRatio = 1.1;
// Routes come and go with the configuration; beyond this number the oldest times are dropped.
constexpr std::size_t maxRoutes = 1000;

} // namespace

SecondAttempts::SecondAttempts(Settings settings)
    : m_settings(settings)
    , m_share({settings.maxShare, 0, 0})
{
}

void SecondAttempts::recordRequest(std::string_view service, TimePoint now)
{
    if (isEnabled())
        m_share.deposit(service, now);
}

void SecondAttempts::recordTime(std::string_view route, Duration time, double relativeDuration,
                                TimePoint now)
{
    if (!isEnabled())
        return;
    if (m_routes.size() >= maxRoutes && !m_routes.contains(route))
        m_routes.clear();
    Times &times = m_routes.try_emplace(std::string(route), Times {now, {}, {}}).first->second;
    const Duration age = now - times.startedAt;
    if (age >= answerWindow) {
        times.previous = age < 2 * answerWindow ? times.current : Window {};
        times.current = {};
        times.startedAt = now;
    }
    ++times.current.counts[bucketOf(Seconds(time).count() / relativeDuration)];
    ++times.current.total;
}

std::optional<Duration> SecondAttempts::slowAfter(std::string_view route, double relativeDuration,
                                                  TimePoint now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return std::nullopt;
    const Times &times = found->second;
    const std::uint32_t total = times.current.total + times.previous.total;
    if (total < minAnswers || now - times.startedAt >= 2 * answerWindow)
        return std::nullopt;
    const auto wanted = static_cast<std::uint32_t>(std::ceil(slowQuantile * total));
    std::uint32_t count = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < bucketCount) {
        count += times.current.counts[bucket] + times.previous.counts[bucket];
        if (count >= wanted)
            break;
        ++bucket;
    }
    const Seconds bound(firstBound * std::pow(boundRatio, bucket));
    return std::chrono::duration_cast<Duration>(bound * relativeDuration);
}

bool SecondAttempts::isAllowed(std::string_view service, TimePoint now) const
{
    return isEnabled() && m_share.hasRetry(service, now);
}

void SecondAttempts::recordSent(std::string_view service, TimePoint now)
{
    m_share.tryConsume(service, now);
}

std::size_t SecondAttempts::bucketOf(double seconds)
{
    const double steps =
        std::log(std::max(seconds, firstBound) / firstBound) / std::log(boundRatio);
    return std::min(static_cast<std::size_t>(std::ceil(steps)), bucketCount - 1);
}

} // namespace foxtailring
