#include "Failure.h"

#include "SystemFixture.h"

namespace foxtailring::bench {

namespace {

using harness::ServerVm;
using harness::SystemFixture;

void killEngine(SystemFixture &, ServerVm &server)
{
    server.backend->kill();
}

void hangEngine(SystemFixture &, ServerVm &server)
{
    server.backendControl().post("/fake/fault", {{"hang", true}});
}

void killSidecar(SystemFixture &, ServerVm &server)
{
    server.sidecar->kill();
}

void pauseSidecar(SystemFixture &, ServerVm &server)
{
    server.sidecar->pause();
}

void silenceConnection(SystemFixture &system, ServerVm &server)
{
    system.setRouteFault(server.entryRoute(), {{"silentExisting", true}});
}

void loseTowardsEntry(SystemFixture &system, ServerVm &server)
{
    system.setRouteFault(server.entryRoute(), {{"oneWay", "to-client"}});
}

} // namespace

std::vector<Failure> Failure::all()
{
    return {{"none", {}, false, true},
            {"engine SIGKILL", killEngine, true, true},
            {"engine hang", hangEngine, true, false},
            {"sidecar SIGKILL", killSidecar, false, true},
            {"sidecar SIGSTOP", pauseSidecar, false, false},
            {"connection silent", silenceConnection, false, false},
            {"one-way loss", loseTowardsEntry, false, false}};
}

} // namespace foxtailring::bench
