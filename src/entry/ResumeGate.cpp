#include "ResumeGate.h"

#include "foxtailring/base/RandomSource.h"

#include "foxtailring/base/ThreadLocalRandom.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

} // namespace

ResumeGate::ResumeGate(WorkerPool &pool, ResumeAdmission &admission, Clock clock)
    : m_admission(admission)
    , m_clock(std::move(clock))
    , m_timer(pool)
{
}

void ResumeGate::submit(std::string_view service, const std::string &ticket, std::uint32_t priority,
                        std::function<void()> hook)
{
    {
        const std::lock_guard lock(m_mutex);
        m_waiting.insert_or_assign(ticket, std::move(hook));
        m_admission.submit(service, ticket, priority, m_clock(), threadLocalRandom());
    }
    pump();
}

void ResumeGate::withdraw(const std::string &ticket)
{
    const std::lock_guard lock(m_mutex);
    if (m_waiting.erase(ticket) > 0)
        m_admission.cancel(ticket, m_clock());
}

void ResumeGate::pump()
{
    std::vector<std::function<void()>> ready;
    {
        const std::lock_guard lock(m_mutex);
        for (const std::string &ticket : m_admission.takeReady(m_clock())) {
            auto waiting = m_waiting.extract(ticket);
            if (!waiting.empty())
                ready.push_back(std::move(waiting.mapped()));
        }
        setTimer();
    }
    for (const auto &hook : ready)
        hook();
}

void ResumeGate::setTimer()
{
    const TimePoint now = m_clock();
    const auto at = m_admission.nextReadyAt(now);
    if (!at)
        return;
    const auto delay = std::chrono::ceil<milliseconds>(std::max(*at, now) - now);
    m_timer.once(delay, [this] { pump(); });
}

} // namespace foxtailring
