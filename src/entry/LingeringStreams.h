#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/transport/Timer.h"

#include <deque>
#include <memory>
#include <mutex>

namespace foxtailring {

class Http2Stream;
class WorkerPool;

/// \brief Streams of attempts that are over, so that their last message still gets out.
///
/// Each one is reset after a few seconds unless the sidecar has ended it. Thread-safe.
class LingeringStreams
{
public:
    LingeringStreams(WorkerPool &pool, Clock clock);

    void add(std::shared_ptr<Http2Stream> stream);

private:
    struct Item
    {
        std::shared_ptr<Http2Stream> stream;
        TimePoint until;
    };

    void drop();

    Clock m_clock;
    std::mutex m_mutex;
    std::deque<Item> m_items; ///< oldest first
    Timer m_timer;
};

} // namespace foxtailring
