#pragma once

#include "foxtailring/sidecar/BackendLoad.h"
#include "foxtailring/sidecar/PrefixHashes.h"
#include "foxtailring/transport/Timer.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace foxtailring {

class DrainState;
class Http1Client;
class WorkerPool;
struct HttpResponse;
struct SidecarSettings;

/// \brief Polls the backend server's `/load` and `/cache_events`. Thread-safe.
class LoadMonitor : public std::enable_shared_from_this<LoadMonitor>
{
public:
    LoadMonitor(std::shared_ptr<const SidecarSettings> settings, WorkerPool &pool,
                std::shared_ptr<Http1Client> backend, std::shared_ptr<const DrainState> drain);
    ~LoadMonitor();
    LoadMonitor(const LoadMonitor &) = delete;
    LoadMonitor &operator=(const LoadMonitor &) = delete;

    void start();
    void stop();

    /// \brief The load last reported, raised to the sidecar's own work in progress.
    BackendLoad load() const;
    /// \brief As reported, or the setting when the backend server reports none.
    std::uint32_t capacity() const;
    std::vector<std::uint64_t> prefixHashes() const;

private:
    struct State;

    void pollLoad();
    void pollCacheEvents();

    const std::shared_ptr<const SidecarSettings> m_settings;
    const std::shared_ptr<Http1Client> m_backend;
    const std::shared_ptr<const DrainState> m_drain;
    const std::shared_ptr<State> m_state;
    Timer m_loadTimer;
    Timer m_cacheTimer;
};

} // namespace foxtailring
