#include "foxtailring/decisions/servers/EngineFailures.h"

#include <algorithm>

namespace foxtailring {

namespace {

constexpr std::size_t maxFailures = 512;

} // namespace

EngineFailures::EngineFailures(Duration minInterval, Duration lifetime)
    : m_minInterval(minInterval)
    , m_lifetime(lifetime)
{
}

void EngineFailures::record(const std::string &incarnation, const std::string &service,
                            TimePoint at, TimePoint now)
{
    const auto isSame = [&](const Failure &failure) {
        return failure.incarnation == incarnation
            && std::chrono::abs(at - failure.at) < m_minInterval;
    };
    if (std::any_of(m_failures.begin(), m_failures.end(), isSame))
        return;
    m_failures.push_back({incarnation, service, at});
    while (m_failures.size() > maxFailures || now - m_failures.front().at >= m_lifetime)
        m_failures.pop_front();
}

void EngineFailures::withdraw(const std::string &incarnation)
{
    std::erase_if(m_failures,
                  [&](const Failure &failure) { return failure.incarnation == incarnation; });
}

std::size_t EngineFailures::countAt(TimePoint at, const std::string &service) const
{
    return count({at, at}, service, [](const std::string &) { return true; });
}

std::size_t
EngineFailures::count(TimeBounds at, const std::string &service,
                      const std::function<bool(const std::string &incarnation)> &isCounted) const
{
    const auto isAt = [&](const Failure &failure) {
        const bool isOfService =
            service.empty() || failure.service.empty() || failure.service == service;
        return isOfService && mayBeSameMoment({failure.at, failure.at}, at)
            && isCounted(failure.incarnation);
    };
    return static_cast<std::size_t>(std::count_if(m_failures.begin(), m_failures.end(), isAt));
}

bool EngineFailures::isSurelyLater(TimeBounds at, TimeBounds other) const
{
    return at.earliest - other.latest >= m_minInterval;
}

bool EngineFailures::mayBeSameMoment(TimeBounds one, TimeBounds other) const
{
    return !isSurelyLater(one, other) && !isSurelyLater(other, one);
}

} // namespace foxtailring
