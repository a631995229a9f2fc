#include "EntryDrain.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/transport/Http1Server.h"

#include "CallerPort.h"
#include "EntryParts.h"
#include "GenerationRunner.h"

namespace foxtailring {

namespace {

constexpr std::chrono::milliseconds drainCheckInterval {20};
// Time for the last events of streams that are handed over to leave.
constexpr std::chrono::seconds handOverTime {2};

} // namespace

EntryDrain::EntryDrain(EntryParts &parts, CallerPort &port, Http1Server &server)
    : m_parts(parts)
    , m_port(port)
    , m_server(server)
    , m_timer(parts.pool)
{
}

void EntryDrain::begin(std::function<void()> done)
{
    Stage expected = Stage::Serving;
    if (!m_stage.compare_exchange_strong(expected, Stage::NotReady))
        return;
    StructuredLog::info("draining");
    m_done = std::move(done);
    m_enteredAt = m_parts.clock();
    m_timer.every(drainCheckInterval, [this] { tick(); });
}

void EntryDrain::tick()
{
    const TimePoint now = m_parts.clock();
    const auto inStage = now - m_enteredAt;
    const bool isIdle = m_server.openRequestCount() == 0;
    switch (m_stage) {
    case Stage::NotReady:
        if (inStage < m_parts.settings.drainDelay)
            return;
        m_port.refuseNew();
        return enter(Stage::Refusing, now);
    case Stage::Refusing:
        if (isIdle)
            return finish();
        if (inStage < m_parts.settings.drainLimit)
            return;
        for (const auto &runner : m_parts.generations.all())
            runner->handOver();
        return enter(Stage::HandingOver, now);
    case Stage::HandingOver:
        if (isIdle || inStage >= handOverTime)
            finish();
        return;
    case Stage::Serving:
    case Stage::Done:
        return;
    }
}

void EntryDrain::enter(Stage stage, TimePoint now)
{
    m_stage = stage;
    m_enteredAt = now;
}

void EntryDrain::finish()
{
    m_stage = Stage::Done;
    m_timer.cancel();
    StructuredLog::info("drained");
    m_done();
}

} // namespace foxtailring
