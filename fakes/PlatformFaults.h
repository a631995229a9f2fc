#pragma once

#include "HangGate.h"

#include <atomic>
#include <nlohmann/json.hpp>

namespace foxtailring::fakes {

/// \brief Faults of the platform stand-in, set by tests while it runs. Thread-safe.
class PlatformFaults
{
public:
    /// \brief Applies `{"down":"close"|"hang"|false,"slowMs":N,"loseReplyNext":N,
    /// "freezeWatches":bool}`.
    void apply(const nlohmann::json &faults);

    /// \brief Delays a call as the faults say; false when its connection is to be closed.
    bool admit();
    /// \brief True when the reply to a write that took effect is to be lost.
    bool losesReply();

    bool closesConnections() const;
    bool watchesAreSilent() const;

private:
    HangGate m_hangGate;
    std::atomic<bool> m_closes = false;
    std::atomic<bool> m_hangs = false;
    std::atomic<bool> m_freezesWatches = false;
    std::atomic<int> m_slowMs = 0;
    std::atomic<int> m_repliesToLose = 0;
};

} // namespace foxtailring::fakes
