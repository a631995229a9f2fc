#include "WorkMeter.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace foxtailring::bench {

namespace {

using nlohmann::json;

Work workOf(harness::ServerVm &engine)
{
    const json stats = engine.backendControl().get("/fake/stats");
    return {stats["tokensProduced"].get<double>(), stats["prefillTokensComputed"].get<double>()};
}

bool isEnded(const json &record)
{
    const std::string state = record["state"];
    return state == "finished" || state == "cancelled";
}

} // namespace

WorkMeter::WorkMeter(harness::SystemFixture &system)
    : m_system(system)
{
}

void WorkMeter::keep(harness::ServerVm &engine)
{
    m_kept[engine.name] = workOf(engine);
}

Work WorkMeter::finalWork()
{
    if (!harness::waitUntil([this] { return isIdle(); }))
        throw std::runtime_error("an engine still computes after the answer");
    return work();
}

Work WorkMeter::work()
{
    Work sum;
    for (std::size_t index = 0; index < m_system.engineCount(); ++index) {
        harness::ServerVm &engine = m_system.engine(index);
        sum += engine.backend->isRunning() ? workOf(engine) : m_kept.at(engine.name);
    }
    return sum;
}

// Failed engines are left out: a hung one never ends its generation.
bool WorkMeter::isIdle()
{
    for (std::size_t index = 0; index < m_system.engineCount(); ++index) {
        harness::ServerVm &engine = m_system.engine(index);
        if (isKept(engine))
            continue;
        for (const json &record : engine.backendControl().get("/fake/stats")["requests"]) {
            if (!isEnded(record))
                return false;
        }
    }
    return true;
}

} // namespace foxtailring::bench
