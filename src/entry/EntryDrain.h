#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/transport/Timer.h"

#include <atomic>
#include <functional>
#include <mutex>

namespace foxtailring {

class CallerPort;
class Http1Server;
struct EntryParts;

/// \brief Graceful shutdown of one entry. Thread-safe.
class EntryDrain
{
public:
    EntryDrain(EntryParts &parts, CallerPort &port, Http1Server &server);

    bool isServing() const { return m_stage == Stage::Serving; }
    void begin(std::function<void()> done);

private:
    enum class Stage { Serving, NotReady, Refusing, HandingOver, Done };

    void tick();
    void enter(Stage stage, TimePoint now);
    void finish();

    EntryParts &m_parts;
    CallerPort &m_port;
    Http1Server &m_server;
    std::atomic<Stage> m_stage = Stage::Serving;
    TimePoint m_enteredAt; ///< of the present stage; used by the timer only
    std::function<void()> m_done;
    Timer m_timer;
};

} // namespace foxtailring
