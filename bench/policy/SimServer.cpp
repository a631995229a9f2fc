#include "SimServer.h"

#include <algorithm>
#include <utility>

namespace foxtailring::bench {

SimServer::SimServer(EventLoop &loop, ServerInfo info, std::uint32_t slots)
    : m_loop(loop)
    , m_info(std::move(info))
    , m_slots(slots)
{
}

void SimServer::submit(Job job)
{
    m_waiting.push_back(std::move(job));
    startNext();
    m_peakWaiting = std::max(m_peakWaiting, m_waiting.size());
}

void SimServer::kill()
{
    m_alive = false;
    auto waiting = std::exchange(m_waiting, {});
    auto running = std::exchange(m_running, {});
    for (auto &[id, job] : running)
        job.lost();
    for (Job &job : waiting)
        job.lost();
}

LoadReport SimServer::report()
{
    LoadReport made;
    made.serverId = m_info.id;
    made.service = m_info.service;
    made.incarnation = 1;
    made.sequence = ++m_sequence;
    made.running = static_cast<std::uint32_t>(m_running.size());
    made.waiting = static_cast<std::uint32_t>(m_waiting.size());
    made.capacity = m_slots;
    return made;
}

void SimServer::startNext()
{
    while (!m_waiting.empty() && m_running.size() < m_slots) {
        Job job = std::move(m_waiting.front());
        m_waiting.pop_front();
        start(std::move(job));
    }
}

void SimServer::start(Job job)
{
    const std::uint64_t id = ++m_lastJob;
    m_prefillFreeAt = std::max(m_prefillFreeAt, m_loop.now()) + job.prefill;
    const TimePoint end = m_prefillFreeAt + job.run;
    m_running.emplace(id, std::move(job));
    m_loop.at(m_prefillFreeAt, [this, id] {
        const auto found = m_running.find(id);
        if (found != m_running.end() && found->second.firstToken)
            found->second.firstToken();
    });
    m_loop.at(end, [this, id] {
        const auto found = m_running.find(id);
        if (found == m_running.end())
            return;
        const Job done = std::move(found->second);
        m_running.erase(found);
        done.finished();
        startNext();
    });
}

} // namespace foxtailring::bench
