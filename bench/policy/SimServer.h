#pragma once

#include "foxtailring/decisions/servers/ServerInfo.h"
#include "foxtailring/protocol/LoadReport.h"

#include "EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

namespace foxtailring::bench {

/// \brief One piece of work at a backend server.
struct Job
{
    Duration prefill {};
    Duration run {};
    std::function<void()> firstToken;
    std::function<void()> finished;
    std::function<void()> lost; ///< the server died with the job
};

/// \brief A backend server: slots, a first-come queue, and one prefill at a time.
class SimServer
{
public:
    SimServer(EventLoop &loop, ServerInfo info, std::uint32_t slots);

    const ServerInfo &info() const { return m_info; }
    void submit(Job job);
    void kill();
    bool isAlive() const { return m_alive; }
    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t peakWaiting() const { return m_peakWaiting; }
    std::uint32_t slots() const { return m_slots; }
    LoadReport report();

private:
    void startNext();
    void start(Job job);

    EventLoop &m_loop;
    const ServerInfo m_info;
    const std::uint32_t m_slots;
    bool m_alive = true;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastJob = 0;
    TimePoint m_prefillFreeAt;
    std::deque<Job> m_waiting;
    std::unordered_map<std::uint64_t, Job> m_running;
    std::size_t m_peakWaiting = 0;
};

} // namespace foxtailring::bench
