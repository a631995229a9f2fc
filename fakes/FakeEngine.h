#pragma once

#include "BatchQueue.h"
#include "EngineFaults.h"
#include "EngineOptions.h"
#include "EngineRegistry.h"
#include "EventFeed.h"
#include "GenerationLog.h"
#include "PrefixCache.h"
#include "Slots.h"
#include "TokenSource.h"

#include <mutex>

namespace foxtailring::fakes {

class FakeExchange;

/// \brief Stand-in for a model engine with an OpenAI-compatible interface. Thread-safe.
class FakeEngine
{
public:
    explicit FakeEngine(EngineOptions options);

    /// \brief Answers one HTTP request.
    void handle(FakeExchange &exchange);

private:
    struct Generation;

    void control(FakeExchange &exchange);
    void inspect(FakeExchange &exchange);
    void order(FakeExchange &exchange);
    void complete(FakeExchange &exchange);
    void run(FakeExchange &exchange, Generation &generation);
    void cancel(FakeExchange &exchange, const Generation &generation);
    bool prefill(FakeExchange &exchange, Generation &generation);
    bool decode(FakeExchange &exchange, Generation &generation);
    bool sendToken(FakeExchange &exchange, Generation &generation, std::size_t index);
    void finish(FakeExchange &exchange, const Generation &generation);
    bool isCancelled(FakeExchange &exchange);
    bool pauseUntil(FakeExchange &exchange, TimePoint end);
    Duration tokenTime();

    EngineOptions m_options;
    EngineFaults m_faults;
    EngineRegistry m_registry;
    GenerationLog m_log;
    TokenSource m_tokens;
    Slots m_slots;
    std::mutex m_cacheMutex; // guards the two below
    EventFeed m_events;
    PrefixCache m_cache;
};

} // namespace foxtailring::fakes
