#include "ServiceLog.h"

#include "SystemFixture.h"

#include <stdexcept>

namespace foxtailring::harness {

namespace {

void addCalls(ServerVm &server, std::map<std::string, std::size_t> &counts)
{
    const nlohmann::json log = server.backendControl().get("/fake/log");
    for (const nlohmann::json &call : log["calls"])
        ++counts[call["target"].get<std::string>()];
}

int unfinishedCalls(ServerVm &server)
{
    const nlohmann::json load = server.backendControl().get("/load");
    return load["running"].get<int>() + load["waiting"].get<int>();
}

} // namespace

ServiceLog::ServiceLog(SystemFixture &system)
    : m_system(system)
{
}

// The log is complete once the sidecar, the only client of the server, is dead and the server idle.
void ServiceLog::replace(ServerVm &server)
{
    server.sidecar->kill();
    server.sidecar->waitForExit();
    server.backendControl().post("/fake/fault", {{"hang", false}});
    if (!waitUntil([&] { return unfinishedCalls(server) == 0; }))
        throw std::runtime_error(server.name + " does not end its calls");
    addCalls(server, m_replacedCounts);
    m_system.startBackend(server);
    m_system.startSidecar(server);
}

std::map<std::string, std::size_t> ServiceLog::executions()
{
    std::map<std::string, std::size_t> counts = m_replacedCounts;
    for (std::size_t index = 0; index < m_system.serviceCount(); ++index)
        addCalls(m_system.service(index), counts);
    return counts;
}

std::size_t ServiceLog::executions(const std::string &target)
{
    return executions()[target];
}

ServerVm *ServiceLog::busyServer()
{
    ServerVm *busy = nullptr;
    waitUntil([&] {
        for (std::size_t index = 0; index < m_system.serviceCount() && !busy; ++index) {
            if (unfinishedCalls(m_system.service(index)) > 0)
                busy = &m_system.service(index);
        }
        return busy != nullptr;
    });
    return busy;
}

} // namespace foxtailring::harness
