#pragma once

#include "foxtailring/transport/Timer.h"

#include <cstdint>
#include <list>
#include <memory>
#include <mutex>

namespace foxtailring {

class ConfigState;
class Http1Responder;
class WorkerPool;

/// \brief Streams configuration changes to operators, one JSON object per line. Thread-safe.
class WatchStreams
{
public:
    WatchStreams(WorkerPool &pool, ConfigState &config);

    /// \brief Sends the changes after revision \a from, then each change once it is in force on
    /// this entry.
    void start(std::int64_t from, std::shared_ptr<Http1Responder> responder);

private:
    struct Stream;
    struct State;

    std::shared_ptr<State> m_state;
    Timer m_timer;
};

} // namespace foxtailring
