#pragma once

namespace foxtailring {

class BackendPlacer;
class BackendTable;
class EngineRhythm;
class RandomSource;
class RetryBudget;

/// \brief Shared state that the sessions of one process decide with. Used on one queue.
struct ForwardContext
{
    BackendTable &servers;
    const BackendPlacer &placer;
    RetryBudget &retries;
    EngineRhythm &rhythm;
    RandomSource &random;
};

} // namespace foxtailring
