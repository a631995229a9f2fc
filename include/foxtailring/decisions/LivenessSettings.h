#pragma once

#include <chrono>

namespace foxtailring {

/// \brief Time limits of LivenessMonitor.
struct LivenessSettings
{
    /// Progress is sent every 250 ms, so that three of them may be late before suspicion.
    std::chrono::milliseconds suspectAfter {1000};
    std::chrono::milliseconds reattachWindow {500};
};

} // namespace foxtailring
