#pragma once

#include <functional>

namespace foxtailring {

class BackendPlacer;
class BackendTable;
class EngineRhythm;
class RandomSource;
class RetryBudget;
struct CopyName;

/// \brief Shared state that the sessions of one process decide with. Used on one queue.
struct ForwardContext
{
    BackendTable &servers;
    const BackendPlacer &placer;
    RetryBudget &retries;
    EngineRhythm &rhythm;
    RandomSource &random;
    /// Has an ordered copy that is not needed any more given up; may be empty.
    std::function<void(const CopyName &)> releaseCopy;
};

} // namespace foxtailring
