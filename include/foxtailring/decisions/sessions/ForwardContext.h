#pragma once

#include "foxtailring/base/Clock.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace foxtailring {

class BackendPlacer;
class BackendTable;
class EngineLatencyEstimator;
class RequestQuarantine;
class RequestVersions;
class RandomSource;
class RetryBudget;
class RunAdmission;
class SecondAttempts;
class ServerAdmission;
class ServerMemory;
class SuspectedCrashes;
struct CopyReference;
struct FirstEventTimes;
struct RateLimitExplanation;
struct RoomExplanation;
struct RunMoveExplanation;

/// \brief State shared by all sessions of a process. Used on one queue.
struct ForwardContext
{
    BackendTable &servers;
    const BackendPlacer &placer;
    RetryBudget &retryBudget;
    ServerAdmission &admission;
    RequestQuarantine &quarantine;
    SuspectedCrashes &suspectedCrashes;
    EngineLatencyEstimator &latency;
    RandomSource &random;
    /// Tells the server to release a snapshot that is no longer needed; may be empty.
    std::function<void(const CopyReference &)> releaseCopy;
    /// A server got no request because of its rate limit; may be empty.
    std::function<void(std::string_view serverId, const RateLimitExplanation &)> onRateLimited;
    /// A server got no request because it asked for a pause; may be empty.
    std::function<void(std::string_view serverId, Duration left)> onPauseReached;
    /// The retry budget of the service is used up; may be empty.
    std::function<void(const std::string &service)> onRetryDenied;
    /// The request is refused because of this suspect, which is quarantined; may be empty.
    std::function<void(std::string_view suspect)> onQuarantined;
    /// Decides which runs may use the room at engines; null: runs are placed without regard to it.
    RunAdmission *runs = nullptr;
    /// A run found no room; may be empty.
    std::function<void(const RoomExplanation &)> onNoRoom {};
    /// Limits the bodies of requests at servers; null: they are not limited.
    ServerMemory *serverMemory = nullptr;
    /// A server got no request because of the bodies that it holds; may be empty.
    std::function<void(std::string_view serverId)> onServerMemoryReached = {};
    SecondAttempts *secondAttempts = nullptr; ///< null: none are made
    /// A slow call got no second attempt for this reason; may be empty.
    std::function<void(std::string_view reason)> onSecondAttemptDenied = {};
    /// Versions that servers of this request may have; null: there are no roll-outs.
    std::shared_ptr<RequestVersions> versions {};
    /// A run that waits at its engine is to be moved, was moved, or stays; may be empty.
    std::function<void(const RunMoveExplanation &)> onRunMove {};
    /// A run whose service has \a runs got its first event; may be empty.
    std::function<void(const FirstEventTimes &)> onFirstEvent {};
};

} // namespace foxtailring
