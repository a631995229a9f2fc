#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace foxtailring {

class ConfigState;
class MetricRegistry;
class DrainState;
class Http1Client;
class LoadMonitor;
class Tracer;
class WorkerPool;
class WorkGate;
struct SidecarSettings;

/// \brief What the parts of one sidecar share.
///
/// Shared pointers, since a hook on a worker thread may outlive the Sidecar that set it.
struct SidecarContext
{
    std::shared_ptr<const SidecarSettings> settings;
    std::uint64_t incarnation = 0; ///< unique to this start of the process; grows with each start
    Clock clock;
    std::function<std::int64_t()> unixSeconds; ///< wall clock
    WorkerPool &pool;                          ///< outlives everything that runs on it
    std::shared_ptr<Http1Client> backend;
    std::shared_ptr<MetricRegistry> metrics;
    std::shared_ptr<ConfigState> config;
    std::shared_ptr<DrainState> drain;
    std::shared_ptr<LoadMonitor> load;
    std::shared_ptr<WorkGate> gate;
    std::shared_ptr<Tracer> tracer;
};

} // namespace foxtailring
