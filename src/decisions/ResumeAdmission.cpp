#include "foxtailring/decisions/ResumeAdmission.h"

#include "foxtailring/base/RandomSource.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

ResumeAdmission::ResumeAdmission()
    : ResumeAdmission(Settings {})
{
}

ResumeAdmission::ResumeAdmission(Settings settings)
    : m_settings(settings)
{
}

void ResumeAdmission::setLiveEntries(std::uint32_t entries)
{
    const std::lock_guard lock(m_mutex);
    m_entries = std::max<std::uint32_t>(1, entries);
}

void ResumeAdmission::setRate(std::string_view service, double resumesPerSecond)
{
    const std::lock_guard lock(m_mutex);
    wave(service).perSecond = resumesPerSecond;
}

void ResumeAdmission::submit(std::string_view service, std::string requestId,
                             std::uint32_t priority, TimePoint now, RandomSource &random)
{
    const double part = random.generateDouble();
    const std::lock_guard lock(m_mutex);
    Wave &wave = this->wave(service);
    refill(wave, now);
    // The jitter keeps entries that saw the same loss from resuming in step; a single loss has
    // none.
    const bool inBurst = static_cast<double>(wave.waiting.size()) + 1 <= wave.tokens;
    const Duration delay = inBurst ? Duration {} : durationOf(part * secondsOf(m_settings.jitter));
    const auto at = std::upper_bound(
        wave.waiting.begin(), wave.waiting.end(), priority,
        [](std::uint32_t value, const Waiting &other) { return value < other.priority; });
    wave.waiting.insert(at, Waiting {std::move(requestId), priority, now + delay});
    wave.drainedAt.reset();
}

void ResumeAdmission::cancel(std::string_view requestId, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[service, wave] : m_waves) {
        const auto removed = std::erase_if(
            wave.waiting, [&](const Waiting &waiting) { return waiting.requestId == requestId; });
        if (removed > 0 && wave.waiting.empty())
            wave.drainedAt = now;
    }
}

std::vector<std::string> ResumeAdmission::takeReady(TimePoint now)
{
    std::vector<std::string> ready;
    const std::lock_guard lock(m_mutex);
    for (auto &[service, wave] : m_waves) {
        refill(wave, now);
        takeFrom(wave, now, ready);
    }
    return ready;
}

std::optional<TimePoint> ResumeAdmission::nextReadyAt(TimePoint now) const
{
    std::optional<TimePoint> earliest;
    const std::lock_guard lock(m_mutex);
    for (const auto &[service, wave] : m_waves) {
        if (wave.waiting.empty())
            continue;
        const TimePoint at = readyAt(wave, now);
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

std::size_t ResumeAdmission::waiting(std::string_view service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waves.find(service);
    return found == m_waves.end() ? 0 : found->second.waiting.size();
}

double ResumeAdmission::newWorkShare(std::string_view service, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waves.find(service);
    if (found == m_waves.end())
        return 1;
    const Wave &wave = found->second;
    if (!wave.waiting.empty())
        return m_settings.newWorkShare;
    if (!wave.drainedAt)
        return 1;
    const double recovered =
        secondsOf(now - *wave.drainedAt) / std::max(1e-9, secondsOf(m_settings.recovery));
    return std::min(1.0, m_settings.newWorkShare + recovered * (1 - m_settings.newWorkShare));
}

ResumeAdmission::Wave &ResumeAdmission::wave(std::string_view service)
{
    const auto found = m_waves.find(service);
    if (found != m_waves.end())
        return found->second;
    Wave &added = m_waves.emplace(std::string(service), Wave {}).first->second;
    added.perSecond = m_settings.resumesPerSecond;
    return added;
}

double ResumeAdmission::rate(const Wave &wave) const
{
    return wave.perSecond / m_entries;
}

double ResumeAdmission::burst(const Wave &wave) const
{
    return std::max(1.0, rate(wave) * m_settings.burstSeconds);
}

void ResumeAdmission::refill(Wave &wave, TimePoint now) const
{
    const double most = burst(wave);
    if (!wave.refilledAt)
        wave.tokens = most;
    else if (now > *wave.refilledAt)
        wave.tokens += secondsOf(now - *wave.refilledAt) * rate(wave);
    wave.tokens = std::min(most, wave.tokens);
    wave.refilledAt = std::max(now, wave.refilledAt.value_or(now));
}

void ResumeAdmission::takeFrom(Wave &wave, TimePoint now, std::vector<std::string> &ready) const
{
    const bool hadWaiting = !wave.waiting.empty();
    for (auto it = wave.waiting.begin(); it != wave.waiting.end() && wave.tokens >= 1;) {
        if (now < it->notBefore) {
            ++it;
            continue;
        }
        wave.tokens -= 1;
        ready.push_back(std::move(it->requestId));
        it = wave.waiting.erase(it);
    }
    if (hadWaiting && wave.waiting.empty())
        wave.drainedAt = now;
}

TimePoint ResumeAdmission::readyAt(const Wave &wave, TimePoint now) const
{
    TimePoint earliest = TimePoint::max();
    for (const Waiting &waiting : wave.waiting)
        earliest = std::min(earliest, waiting.notBefore);
    const double missing = 1 - wave.tokens;
    if (missing > 0) {
        const Duration refillTime = durationOf(missing / rate(wave));
        // Rounded up, so that the token is complete at the time returned.
        earliest = std::max(earliest, wave.refilledAt.value_or(now) + refillTime + Duration(1));
    }
    return std::max(earliest, now);
}

} // namespace foxtailring
