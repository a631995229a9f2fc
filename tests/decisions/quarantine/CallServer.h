#pragma once

#include "foxtailring/decisions/servers/BackendInfo.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtailring {

/// \brief A call of a simulation, on its way from one caller.
struct SimulatedCall
{
    std::string digest;
    bool isDeadly = false;
    bool isHot = false;       ///< many others have the same digest
    std::size_t visits = 0;   ///< to gateways
    std::size_t gateway = 0;  ///< of the latest visit
    std::size_t attempts = 0; ///< in this visit
    std::optional<std::size_t> lostAt;
};

/// \brief A plain server of a simulation: slots, and a queue in front of them.
class CallServer
{
public:
    using Call = std::shared_ptr<SimulatedCall>;

    static constexpr std::size_t slots = 6;
    static constexpr std::size_t queueLimit = 24;

    CallServer(std::size_t number, std::size_t zone)
    {
        m_info.id = std::to_string(number);
        m_info.service = "calls";
        m_info.address = "10.0.0.1:" + std::to_string(8000 + number);
        m_info.availabilityZone = "zone-" + std::to_string(zone);
        m_info.slots = slots;
        m_info.startedAtMs = 1;
    }

    const BackendInfo &info() const { return m_info; }
    bool isUp() const { return m_isUp; }
    bool isAcceptingCalls() const { return m_isUp && m_queue.size() < queueLimit; }

    void add(Call call) { m_queue.push_back(std::move(call)); }
    /// \brief Moves the next call from the queue into a slot; null: no call, or no free slot.
    Call beginNext()
    {
        if (!m_isUp || m_queue.empty() || m_running.size() >= slots)
            return nullptr;
        m_running.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
        return m_running.back();
    }
    void end(const Call &call) { std::erase(m_running, call); }

    /// \brief Returns all calls that are lost.
    std::vector<Call> crash()
    {
        m_isUp = false;
        std::vector<Call> lost = std::exchange(m_running, {});
        lost.insert(lost.end(), m_queue.begin(), m_queue.end());
        m_queue.clear();
        return lost;
    }
    void restart()
    {
        m_isUp = true;
        ++m_info.startedAtMs;
    }

private:
    BackendInfo m_info;
    bool m_isUp = true;
    std::vector<Call> m_running;
    std::deque<Call> m_queue;
};

} // namespace foxtailring
