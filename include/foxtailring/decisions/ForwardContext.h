#pragma once

#include <functional>

namespace foxtailring {

class BackendPlacer;
class BackendTable;
class EngineLatencyEstimator;
class RandomSource;
class RetryBudget;
struct CopyReference;

/// \brief Shared state that the sessions of one process decide with. Used on one queue.
struct ForwardContext
{
    BackendTable &servers;
    const BackendPlacer &placer;
    RetryBudget &retryBudget;
    EngineLatencyEstimator &latency;
    RandomSource &random;
    /// Has an ordered copy that is not needed any more given up; may be empty.
    std::function<void(const CopyReference &)> releaseCopy;
};

} // namespace foxtailring
