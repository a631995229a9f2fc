#pragma once

#include "foxtailring/decisions/LivenessSettings.h"

#include <chrono>
#include <cstdint>

namespace foxtailring {

/// \brief Limits of GenerationSession.
struct GenerationSessionSettings
{
    LivenessSettings liveness;
    /// A sidecar closes a stream without Ack for 3 s.
    std::chrono::milliseconds ackInterval {500};
    /// Between two tries to find a server, or to attach after a cut.
    std::chrono::milliseconds retryDelay {100};
    /// How long a resume waits while no server is available.
    std::chrono::milliseconds maxResumeWait {8000};
    /// Lost attempts in a row without a new token. A prompt that stops every engine must not go on
    /// for ever.
    std::uint32_t maxAttemptsWithoutProgress = 6;
};

} // namespace foxtailring
