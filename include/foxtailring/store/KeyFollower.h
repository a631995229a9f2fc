#pragma once

#include "foxtailring/store/KeyFollowerHooks.h"

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
class KeyFollower
{
public:
    struct Settings
    {
        /// A watch without any sign of life for this long is opened again: it may be silent.
        std::chrono::milliseconds renewal {4000};
        std::chrono::milliseconds leastBackOff {100};
        std::chrono::milliseconds mostBackOff {2000};
    };

    /// \param client must live as long as the follower
    KeyFollower(WorkerPool &pool, KeyValueClient &client, std::string prefix, Settings settings,
                KeyFollowerHooks hooks);
    /// \brief Calls stop().
    ~KeyFollower();
    KeyFollower(const KeyFollower &) = delete;
    KeyFollower &operator=(const KeyFollower &) = delete;

    void start();
    void stop();

private:
    class State;
    std::shared_ptr<State> m_state;
};

} // namespace foxtailring
