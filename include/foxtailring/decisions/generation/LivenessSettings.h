#pragma once

#include <chrono>

namespace foxtailring {

/// \brief Time limits of LivenessMonitor.
struct LivenessSettings
{
    /// Peers send progress every 250 ms, so three messages in a row may be missing before
    /// suspicion.
    std::chrono::milliseconds suspectAfter {1000};
    std::chrono::milliseconds reattachWindow {500};
};

} // namespace foxtailring
