#pragma once

#include "foxtailring/store/PrefixWatcherHooks.h"

#include <chrono>
#include <memory>
#include <string>

namespace foxtailring {

class KeyValueClient;
class WorkerPool;

/// \brief Follows all keys with one prefix of the platform's key-value service.
///
/// Reads all of them once and watches from the revision after; reads again when the watch cannot go
/// on from there. A failure is tried again with jittered back-off.
class PrefixWatcher
{
public:
    struct Settings
    {
        /// A watch without any sign of life for this long is opened again: it may be silent.
        std::chrono::milliseconds idleTimeout {4000};
        std::chrono::milliseconds minBackoff {100};
        std::chrono::milliseconds maxBackoff {2000};
    };

    /// \param client must live as long as the follower
    PrefixWatcher(WorkerPool &pool, KeyValueClient &client, std::string prefix, Settings settings,
                  PrefixWatcherHooks hooks);
    /// \brief Calls stop().
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
