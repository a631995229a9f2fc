#include "foxtailring/decisions/sessions/AnswerTimes.h"

#include <algorithm>
#include <chrono>

namespace foxtailring {

namespace {

constexpr std::chrono::minutes windowLength {5};
// The longest of fewer answers says little about the next one.
constexpr std::size_t minCount = 20;

} // namespace

void AnswerTimes::begin(std::string_view route, TimePoint arrivedAt)
{
    auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        dropOld(arrivedAt);
        found = m_routes.emplace(route, Windows {{}, arrivedAt, {}, {}}).first;
    }
    found->second.open.insert(arrivedAt);
}

void AnswerTimes::end(std::string_view route, TimePoint arrivedAt, bool isRun, TimePoint now)
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return;
    Windows &windows = found->second;
    if (const auto call = windows.open.find(arrivedAt); call != windows.open.end())
        windows.open.erase(call);
    if (isRun)
        record(windows, now - arrivedAt, now);
}

void AnswerTimes::record(Windows &windows, Duration time, TimePoint now)
{
    const Duration age = now - windows.startedAt;
    if (age >= windowLength) {
        windows.previous = age < 2 * windowLength ? windows.current : Window {};
        windows.current = {};
        windows.startedAt = now;
    }
    ++windows.current.count;
    windows.current.longest = std::max(windows.current.longest, time);
}

std::optional<Duration> AnswerTimes::longest(std::string_view route, TimePoint now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return std::nullopt;
    const auto &[open, startedAt, current, previous] = found->second;
    const Duration age = now - startedAt;
    Window recent;
    if (age < 2 * windowLength)
        recent = current;
    if (age < windowLength) {
        recent.count += previous.count;
        recent.longest = std::max(recent.longest, previous.longest);
    }
    if (recent.count < minCount)
        return std::nullopt;
    return open.empty() ? recent.longest : std::max(recent.longest, now - *open.begin());
}

// Routes come and go with the configuration.
void AnswerTimes::dropOld(TimePoint now)
{
    std::erase_if(m_routes, [now](const auto &entry) {
        return entry.second.open.empty() && now - entry.second.startedAt >= 2 * windowLength;
    });
}

} // namespace foxtailring
