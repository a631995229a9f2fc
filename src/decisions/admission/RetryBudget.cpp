#include "foxtailring/decisions/admission/RetryBudget.h"

#include <algorithm>

namespace foxtailring {

namespace {

std::int64_t secondOf(TimePoint time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

RetryBudget::RetryBudget()
    : RetryBudget(Settings {})
{
}

RetryBudget::RetryBudget(Settings settings)
    : m_settings(settings)
{
}

void RetryBudget::deposit(std::string_view service, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    ++secondAt(window(service), now).workUnits;
}

bool RetryBudget::tryConsume(std::string_view service, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (!hasRetries(service, 1, now))
        return false;
    ++secondAt(window(service), now).retries;
    return true;
}

bool RetryBudget::hasRetry(std::string_view service, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    return hasRetries(service, 1, now);
}

bool RetryBudget::hasSpareRetry(std::string_view service, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto waiting = m_waiting.find(service);
    return hasRetries(service, 2 + (waiting == m_waiting.end() ? 0 : waiting->second), now);
}

bool RetryBudget::hasRetries(std::string_view service, std::size_t count, TimePoint now) const
{
    const auto found = m_windows.find(service);
    const double left = remaining(found == m_windows.end() ? Window {} : found->second, now);
    return left + m_settings.rounding >= static_cast<double>(count);
}

void RetryBudget::addWaiting(std::string_view service)
{
    const std::lock_guard lock(m_mutex);
    ++m_waiting.try_emplace(std::string(service), 0).first->second;
}

void RetryBudget::removeWaiting(std::string_view service)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(service);
    if (found != m_waiting.end() && --found->second == 0)
        m_waiting.erase(found);
}

void RetryBudget::setProcessCount(std::size_t count)
{
    const std::lock_guard lock(m_mutex);
    m_processCount = std::max<std::size_t>(count, 1);
}

double RetryBudget::remaining(std::string_view service, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_windows.find(service);
    return std::max(0.0, remaining(found == m_windows.end() ? Window {} : found->second, now));
}

RetryBudget::Window &RetryBudget::window(std::string_view service)
{
    const auto found = m_windows.find(service);
    if (found != m_windows.end())
        return found->second;
    return m_windows.emplace(std::string(service), Window {}).first->second;
}

RetryBudget::Second &RetryBudget::secondAt(Window &window, TimePoint now)
{
    const std::int64_t index = secondOf(now);
    Second &second = window[static_cast<std::size_t>(index) % windowSeconds];
    if (second.index != index)
        second = Second {index, 0, 0};
    return second;
}

double RetryBudget::remaining(const Window &window, TimePoint now) const
{
    const std::int64_t oldest = secondOf(now) - static_cast<std::int64_t>(windowSeconds) + 1;
    double workUnits = 0;
    double retries = 0;
    for (const Second &second : window) {
        if (second.index < oldest)
            continue;
        workUnits += static_cast<double>(second.workUnits);
        retries += static_cast<double>(second.retries);
    }
    const double fleetMinimum = m_settings.minPerSecond * static_cast<double>(windowSeconds);
    const double minimum = fleetMinimum / static_cast<double>(m_processCount);
    return workUnits * m_settings.fraction + minimum - retries;
}

} // namespace foxtailring
