#include "SlowCallers.h"

#include "foxtailring/base/MetricRegistry.h"

#include <utility>

namespace foxtailring {

SlowCallers::SlowCallers(MetricRegistry &metrics)
    : m_metrics(metrics)
{
}

SlowCallers::Id SlowCallers::add(std::function<void()> giveUp)
{
    m_hooks.emplace(++m_lastId, std::move(giveUp));
    return m_lastId;
}

void SlowCallers::update(Id id, std::size_t takenBytes, std::size_t unreadBytes, TimePoint now)
{
    if (m_hooks.contains(id))
        m_answers.update(id, takenBytes, unreadBytes, now);
}

void SlowCallers::remove(Id id)
{
    m_answers.remove(id);
    m_hooks.erase(id);
}

bool SlowCallers::endSlowest(Id requester)
{
    const auto slowest = m_answers.slowest();
    if (!slowest || *slowest == requester)
        return false;
    const auto giveUp = std::move(m_hooks.at(*slowest));
    remove(*slowest);
    m_metrics.add("gateway_slow_callers_ended_total");
    giveUp();
    return true;
}

} // namespace foxtailring
