#include "PlatformFaults.h"

#include "FaultMembers.h"

#include <chrono>
#include <stdexcept>
#include <thread>

namespace foxtailring::fakes {

void PlatformFaults::apply(const nlohmann::json &faults)
{
    checkFaultMembers(faults, {"down", "slowMs", "loseReplyNext", "freezeWatches"});
    if (faults.contains("down")) {
        const nlohmann::json &down = faults["down"];
        const bool isUp = down.is_null() || down == false;
        if (!isUp && down != "close" && down != "hang")
            throw std::invalid_argument("down is \"close\", \"hang\" or false");
        m_closes = down == "close";
        m_hangs = down == "hang";
        m_hangGate.set(m_hangs);
    }
    m_slowMs = faults.value("slowMs", m_slowMs.load());
    m_repliesToLose = faults.value("loseReplyNext", m_repliesToLose.load());
    m_freezesWatches = faults.value("freezeWatches", m_freezesWatches.load());
}

bool PlatformFaults::admit()
{
    m_hangGate.pass();
    std::this_thread::sleep_for(std::chrono::milliseconds(m_slowMs));
    return !m_closes;
}

bool PlatformFaults::losesReply()
{
    int left = m_repliesToLose;
    while (left > 0) {
        if (m_repliesToLose.compare_exchange_weak(left, left - 1))
            return true;
    }
    return false;
}

bool PlatformFaults::closesConnections() const
{
    return m_closes;
}

bool PlatformFaults::watchesAreSilent() const
{
    return m_hangs || m_freezesWatches;
}

} // namespace foxtailring::fakes
