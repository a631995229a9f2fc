#include "foxtailring/decisions/sessions/EngineLatencyEstimator.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

using Seconds = std::chrono::duration<double>;

// Weight of the latest run in the moving averages, which cover about five runs.
constexpr double latestWeight = 0.2;
// A slow engine; used until the first run was observed.
constexpr double assumedSecondsPerToken = 0.0004;
// Delays up to this many mean deviations above the mean are not unusual.
constexpr double maxUsualDeviations = 4;
// Waiting for one other prompt of the same size is not unusual.
constexpr double maxUsualPrompts = 2;
// Duration at an idle engine relative to the mean.
constexpr double unloadedFraction = 0.6;
// For connecting, routing and the first decoding step.
constexpr Seconds fixedDelay {0.1};
// Longer than any request may take. The sizes of prompts and outputs are what callers say, and a
// time that they lead to must fit 64 bits of nanoseconds, also when it is added to others.
constexpr Seconds maxDuration = std::chrono::hours(24);

double sizeOf(std::uint64_t promptTokens)
{
    return static_cast<double>(std::max<std::uint64_t>(promptTokens, 1));
}

Seconds outputDuration(Duration eventInterval, std::int64_t events)
{
    return Seconds(eventInterval) * static_cast<double>(std::max<std::int64_t>(events, 0));
}

Duration bounded(Seconds duration)
{
    return std::chrono::duration_cast<Duration>(std::min(duration, maxDuration));
}

} // namespace

void EngineLatencyEstimator::recordFirstEvent(std::string_view service, std::uint64_t promptTokens,
                                              Duration delay)
{
    const double perToken = Seconds(delay).count() / sizeOf(promptTokens);
    const auto found = m_rates.find(service);
    Rate &rate = found == m_rates.end() ? m_rates[std::string(service)] : found->second;
    if (!rate.isKnown) {
        rate = {perToken, perToken / 2, true};
        return;
    }
    rate.deviation += latestWeight * (std::abs(perToken - rate.perToken) - rate.deviation);
    rate.perToken += latestWeight * (perToken - rate.perToken);
}

void EngineLatencyEstimator::recordEventInterval(std::string_view service, Duration mean)
{
    const auto found = m_rates.find(service);
    if (found == m_rates.end())
        return;
    Duration &known = found->second.eventInterval;
    known = known == Duration {0}
        ? mean
        : known + std::chrono::duration_cast<Duration>(latestWeight * (mean - known));
}

Duration EngineLatencyEstimator::minRunDuration(std::string_view service,
                                                std::uint64_t promptTokens,
                                                std::int64_t events) const
{
    const auto found = m_rates.find(service);
    if (found == m_rates.end())
        return Duration {0};
    const Rate &rate = found->second;
    const Seconds prefill(rate.perToken * static_cast<double>(promptTokens));
    return bounded(unloadedFraction * (prefill + outputDuration(rate.eventInterval, events)));
}

std::optional<Duration> EngineLatencyEstimator::usualRunDuration(std::string_view service,
                                                                 std::uint64_t promptTokens,
                                                                 std::int64_t events) const
{
    const auto found = m_rates.find(service);
    if (found == m_rates.end() || found->second.eventInterval == Duration {0})
        return std::nullopt;
    return bounded(maxFirstEventDelay(service, promptTokens)
                   + outputDuration(found->second.eventInterval, events));
}

Duration EngineLatencyEstimator::maxFirstEventDelay(std::string_view service,
                                                    std::uint64_t promptTokens) const
{
    const auto found = m_rates.find(service);
    const bool isKnown = found != m_rates.end();
    const double perToken = isKnown
        ? std::max(maxUsualPrompts * found->second.perToken,
                   found->second.perToken + maxUsualDeviations * found->second.deviation)
        : maxUsualPrompts * assumedSecondsPerToken;
    return bounded(fixedDelay + Seconds(perToken * sizeOf(promptTokens)));
}

} // namespace foxtailring
