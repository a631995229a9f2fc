#pragma once

#include <functional>

namespace foxtailring {

class BackendPlacer;
class BackendTable;
class EngineLatencyEstimator;
class RandomSource;
class RateLimitTable;
class RetryBudget;
struct CopyReference;

/// \brief State shared by all sessions of a process. Used on one queue.
struct ForwardContext
{
    BackendTable &servers;
    const BackendPlacer &placer;
    RetryBudget &retryBudget;
    RateLimitTable &rateLimits;
    EngineLatencyEstimator &latency;
    RandomSource &random;
    /// Tells the server to release a snapshot that is no longer needed; may be empty.
    std::function<void(const CopyReference &)> releaseCopy;
};

} // namespace foxtailring
