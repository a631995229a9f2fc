#include "LingeringStreams.h"

#include "foxtailring/transport/Http2Stream.h"

#include <utility>
#include <vector>

namespace foxtailring {

namespace {

constexpr std::chrono::seconds lingerTime {5};
constexpr std::chrono::milliseconds dropInterval {500};

} // namespace

LingeringStreams::LingeringStreams(WorkerPool &pool, Clock clock)
    : m_clock(std::move(clock))
    , m_timer(pool)
{
    m_timer.every(dropInterval, [this] { drop(); });
}

void LingeringStreams::add(std::shared_ptr<Http2Stream> stream)
{
    const std::lock_guard lock(m_mutex);
    m_items.push_back({std::move(stream), m_clock() + lingerTime});
}

void LingeringStreams::drop()
{
    std::vector<std::shared_ptr<Http2Stream>> over;
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_clock();
        while (!m_items.empty() && m_items.front().until <= now) {
            over.push_back(std::move(m_items.front().stream));
            m_items.pop_front();
        }
    }
    for (const auto &stream : over)
        stream->reset();
}

} // namespace foxtailring
