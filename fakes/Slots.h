#pragma once

#include "BatchQueue.h"
#include "foxtailring/base/Clock.h"
#include "Lagged.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>

namespace foxtailring::fakes {

/// \brief Thread-safe BatchQueue whose load is reported with a lag.
class Slots
{
public:
    Slots(std::size_t slots, Duration loadLag);

    BatchQueue::Ticket enter(int priority);
    /// \brief Waits for a slot; false when \a givenUp turns true first. It is polled.
    bool await(BatchQueue::Ticket ticket, const std::function<bool()> &givenUp);
    void leave(BatchQueue::Ticket ticket);
    std::size_t running();
    /// \brief `{"running","waiting","capacity"}` as of the lag ago.
    nlohmann::json load();

private:
    struct Load
    {
        std::size_t running = 0;
        std::size_t waiting = 0;
    };
    void publish();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    BatchQueue m_queue;
    Lagged<Load> m_load;
};

} // namespace foxtailring::fakes
