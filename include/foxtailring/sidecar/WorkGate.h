#pragma once

#include "foxtailring/base/Result.h"

#include <memory>

namespace foxtailring {

class ConfigState;
class DrainState;
class LoadMonitor;
class WorkTicket;
struct SidecarSettings;

/// \brief Decides whether the sidecar takes one more piece of work. Thread-safe.
class WorkGate
{
public:
    WorkGate(std::shared_ptr<const SidecarSettings> settings,
             std::shared_ptr<const ConfigState> config, std::shared_ptr<DrainState> drain,
             std::shared_ptr<const LoadMonitor> load);

    /// \brief Draining: leaving. Unavailable: no configuration yet. Overloaded: the queue is full.
    Result<std::shared_ptr<WorkTicket>> admit();

private:
    const std::shared_ptr<const SidecarSettings> m_settings;
    const std::shared_ptr<const ConfigState> m_config;
    const std::shared_ptr<DrainState> m_drain;
    const std::shared_ptr<const LoadMonitor> m_load;
};

} // namespace foxtailring
