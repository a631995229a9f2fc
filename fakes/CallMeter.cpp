#include "CallMeter.h"

#include <algorithm>

namespace foxtailring::fakes {

void CallMeter::add(const std::string &kind, Class callClass, TimePoint now)
{
    ++m_calls[kind];
    if (callClass == Class::Read)
        m_reads.add(now);
    else if (callClass == Class::Write)
        m_writes.add(now);
}

void CallMeter::watchOpened()
{
    ++m_openWatches;
    m_largestOpenWatches = std::max(m_largestOpenWatches, m_openWatches);
}

void CallMeter::watchClosed()
{
    --m_openWatches;
}

nlohmann::json CallMeter::stats() const
{
    return {{"calls", m_calls},
            {"largestReadsPerSecond", m_reads.largest},
            {"largestWritesPerSecond", m_writes.largest},
            {"openWatches", m_openWatches},
            {"largestOpenWatches", m_largestOpenWatches}};
}

void CallMeter::Window::add(TimePoint now)
{
    recent.push_back(now);
    while (recent.front() <= now - std::chrono::seconds(1))
        recent.pop_front();
    largest = std::max(largest, recent.size());
}

} // namespace foxtailring::fakes
