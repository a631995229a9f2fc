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

/// \brief Streams changes of the configuration to operators, one JSON object a line. Thread-safe.
class WatchStreams
{
public:
    WatchStreams(WorkerPool &pool, ConfigState &config);

    /// \brief Sends everything after revision \a from, then each change as it comes into force
    /// here.
    void start(std::int64_t from, std::shared_ptr<Http1Responder> responder);

private:
    struct Stream;
    struct State;

    std::shared_ptr<State> m_state;
    Timer m_timer;
};

} // namespace foxtailring
