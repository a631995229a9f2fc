#pragma once

#include "foxtailring/store/PrefixWatcherHooks.h"

#include <chrono>
#include <memory>
#include <string>

namespace foxtailring {

class KeyValueClient;
class WorkerPool;

/// \brief Keeps a caller up to date with all keys of one prefix in the platform's key-value
/// service.
///
/// Reads all keys once, then watches from the next revision. Reads them again when the service no
/// longer holds the changes from there on, or when that is cheaper than to read those changes
/// (HistoryCost). Failures are retried with jittered exponential backoff.
class PrefixWatcher
{
public:
    struct Settings
    {
        /// A watch that delivers nothing for half to all of this time is reopened, since its
        /// connection may be dead without an error.
        std::chrono::milliseconds idleTimeout {4000};
        std::chrono::milliseconds minBackoff {100};
        std::chrono::milliseconds maxBackoff {2000};
        /// Between two reads of all keys that take the place of the history.
        std::chrono::milliseconds stateInterval {1000};
    };

    /// \param client must outlive the watcher
    PrefixWatcher(WorkerPool &pool, KeyValueClient &client, std::string prefix, Settings settings,
                  PrefixWatcherHooks hooks);
    ~PrefixWatcher();
    PrefixWatcher(const PrefixWatcher &) = delete;
    PrefixWatcher &operator=(const PrefixWatcher &) = delete;

    void start();
    void stop();

private:
    class State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
