#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/admission/ResumeAdmission.h"
#include "foxtailring/transport/Timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring {

class WorkerPool;

/// \brief Calls a generation back when ResumeAdmission lets it resume. Thread-safe.
class ResumeGate
{
public:
    ResumeGate(WorkerPool &pool, ResumeAdmission &admission, Clock clock);

    /// \param ticket unique in this process
    /// \param hook runs once, possibly before submit() returns
    void submit(std::string_view service, const std::string &ticket, std::uint32_t priority,
                std::function<void()> hook);
    /// \brief Drops a waiting resume without calling its hook.
    void withdraw(const std::string &ticket);

private:
    void pump();
    void setTimer();

    ResumeAdmission &m_admission;
    Clock m_clock;
    std::mutex m_mutex;
    std::map<std::string, std::function<void()>> m_waiting;
    Timer m_timer;
};

} // namespace foxtailring
