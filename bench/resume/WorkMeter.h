#pragma once

#include "SystemFixture.h"
#include "Work.h"

#include <map>
#include <string>

namespace foxtailring::bench {

/// \brief Sums the work of all engine stand-ins of a system, dead ones included.
class WorkMeter
{
public:
    explicit WorkMeter(harness::SystemFixture &system);

    /// \brief Reads the work of an engine that is about to fail.
    void keep(harness::ServerVm &engine);
    bool isKept(const harness::ServerVm &engine) const { return m_kept.contains(engine.name); }
    /// \brief Waits until no other engine computes, and returns the work so far.
    Work finalWork();
    Work work();

private:
    bool isIdle();

    harness::SystemFixture &m_system;
    std::map<std::string, Work> m_kept; // by name of the engine
};

} // namespace foxtailring::bench
