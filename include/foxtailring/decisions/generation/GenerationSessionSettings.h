#pragma once

#include "foxtailring/decisions/generation/LivenessSettings.h"

#include <chrono>
#include <cstdint>

namespace foxtailring {

/// \brief Limits of GenerationSession.
struct GenerationSessionSettings
{
    LivenessSettings liveness;
    /// A sidecar closes a stream that gets no Ack for 3 s.
    std::chrono::milliseconds ackInterval {500};
    /// Before looking for a server again, or reattaching after a stream was cut.
    std::chrono::milliseconds retryDelay {100};
    /// How long a resume may wait for an available server.
    std::chrono::milliseconds maxResumeWait {8000};
    /// Lost attempts in a row without a new token. Bounds the damage of a prompt that crashes every
    /// engine.
    std::uint32_t maxAttemptsWithoutProgress = 6;
};

} // namespace foxtailring
