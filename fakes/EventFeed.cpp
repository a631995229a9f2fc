#include "EventFeed.h"

namespace foxtailring::fakes {

namespace {

constexpr std::size_t maxKeptEvents = 100'000;

} // namespace

EventFeed::EventFeed(Duration lag, double loss, std::uint64_t seed)
    : m_lag(lag)
    , m_loss(loss)
    , m_random(seed)
{
}

void EventFeed::add(TimePoint now, nlohmann::json event)
{
    ++m_last;
    if (m_random.generateDouble() < m_loss)
        return;
    event["sequence"] = m_last;
    m_entries.push_back({now + m_lag, m_last, std::move(event)});
    if (m_entries.size() > maxKeptEvents)
        m_entries.pop_front();
}

nlohmann::json EventFeed::after(TimePoint now, std::uint64_t after) const
{
    nlohmann::json events = nlohmann::json::array();
    std::uint64_t last = after;
    for (const Entry &entry : m_entries) {
        if (entry.sequence <= after || entry.visibleAt > now)
            continue;
        events.push_back(entry.event);
        last = entry.sequence;
    }
    return {{"events", std::move(events)}, {"last", last}};
}

} // namespace foxtailring::fakes
