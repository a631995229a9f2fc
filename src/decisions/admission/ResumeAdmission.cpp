#include "foxtailring/decisions/admission/ResumeAdmission.h"

#include "foxtailring/base/RandomSource.h"

#include <algorithm>
#include <utility>

namespace foxtailring {

namespace {

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
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
    queue(service).resumesPerSecond = resumesPerSecond;
}

void ResumeAdmission::submit(std::string_view service, std::string requestId,
                             std::uint32_t priority, TimePoint now, RandomSource &random)
{
    const double fraction = random.generateDouble();
    const std::lock_guard lock(m_mutex);
    ServiceQueue &queue = this->queue(service);
    refill(queue, now);
    // Jitter keeps the entries that saw the same loss from resuming at the same time. A few
    // resumes, which find enough tokens, are not delayed.
    const bool inBurst = static_cast<double>(queue.waiting.size()) + 1 <= queue.tokens;
    const Duration delay =
        inBurst ? Duration {} : fromSeconds(fraction * toSeconds(m_settings.maxJitter));
    const auto at = std::upper_bound(
        queue.waiting.begin(), queue.waiting.end(), priority,
        [](std::uint32_t value, const Waiting &other) { return value < other.priority; });
    queue.waiting.insert(at, Waiting {std::move(requestId), priority, now + delay});
    queue.emptiedAt.reset();
}

void ResumeAdmission::cancel(std::string_view requestId, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[service, queue] : m_queues) {
        const auto removed = std::erase_if(
            queue.waiting, [&](const Waiting &waiting) { return waiting.requestId == requestId; });
        if (removed > 0 && queue.waiting.empty())
            queue.emptiedAt = now;
    }
}

std::vector<std::string> ResumeAdmission::takeReady(TimePoint now)
{
    std::vector<std::string> ready;
    const std::lock_guard lock(m_mutex);
    for (auto &[service, queue] : m_queues) {
        refill(queue, now);
        takeReadyFrom(queue, now, ready);
    }
    return ready;
}

std::optional<TimePoint> ResumeAdmission::nextReadyAt(TimePoint now) const
{
    std::optional<TimePoint> earliest;
    const std::lock_guard lock(m_mutex);
    for (const auto &[service, queue] : m_queues) {
        if (queue.waiting.empty())
            continue;
        const TimePoint at = readyAt(queue, now);
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

std::size_t ResumeAdmission::waiting(std::string_view service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_queues.find(service);
    return found == m_queues.end() ? 0 : found->second.waiting.size();
}

double ResumeAdmission::newWorkShare(std::string_view service, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_queues.find(service);
    if (found == m_queues.end())
        return 1;
    const ServiceQueue &queue = found->second;
    if (!queue.waiting.empty())
        return m_settings.newWorkShare;
    if (!queue.emptiedAt)
        return 1;
    const double recoveredFraction =
        toSeconds(now - *queue.emptiedAt) / std::max(1e-9, toSeconds(m_settings.recoveryTime));
    return std::min(1.0,
                    m_settings.newWorkShare + recoveredFraction * (1 - m_settings.newWorkShare));
}

ResumeAdmission::ServiceQueue &ResumeAdmission::queue(std::string_view service)
{
    const auto found = m_queues.find(service);
    if (found != m_queues.end())
        return found->second;
    ServiceQueue &added = m_queues.emplace(std::string(service), ServiceQueue {}).first->second;
    added.resumesPerSecond = m_settings.resumesPerSecond;
    return added;
}

double ResumeAdmission::rate(const ServiceQueue &queue) const
{
    return queue.resumesPerSecond / m_entries;
}

double ResumeAdmission::maxTokens(const ServiceQueue &queue) const
{
    return std::max(1.0, rate(queue) * m_settings.burstSeconds);
}

void ResumeAdmission::refill(ServiceQueue &queue, TimePoint now) const
{
    const double tokenLimit = maxTokens(queue);
    if (!queue.refilledAt)
        queue.tokens = tokenLimit;
    else if (now > *queue.refilledAt)
        queue.tokens += toSeconds(now - *queue.refilledAt) * rate(queue);
    queue.tokens = std::min(tokenLimit, queue.tokens);
    queue.refilledAt = std::max(now, queue.refilledAt.value_or(now));
}

void ResumeAdmission::takeReadyFrom(ServiceQueue &queue, TimePoint now,
                                    std::vector<std::string> &ready) const
{
    const bool hadWaiting = !queue.waiting.empty();
    for (auto it = queue.waiting.begin(); it != queue.waiting.end() && queue.tokens >= 1;) {
        if (now < it->earliestStart) {
            ++it;
            continue;
        }
        queue.tokens -= 1;
        ready.push_back(std::move(it->requestId));
        it = queue.waiting.erase(it);
    }
    if (hadWaiting && queue.waiting.empty())
        queue.emptiedAt = now;
}

TimePoint ResumeAdmission::readyAt(const ServiceQueue &queue, TimePoint now) const
{
    TimePoint earliest = TimePoint::max();
    for (const Waiting &waiting : queue.waiting)
        earliest = std::min(earliest, waiting.earliestStart);
    const double missingTokens = 1 - queue.tokens;
    if (missingTokens > 0) {
        const Duration refillTime = fromSeconds(missingTokens / rate(queue));
        // Rounded up, so that a whole token is available at the time returned.
        earliest = std::max(earliest, queue.refilledAt.value_or(now) + refillTime + Duration(1));
    }
    return std::max(earliest, now);
}

} // namespace foxtailring
