#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace foxtailring::harness {

class SystemFixture;
struct ServerVm;

/// \brief What the plain service has executed, over all its servers and those they replaced.
class ServiceLog
{
public:
    explicit ServiceLog(SystemFixture &system);

    /// \brief Puts a new sidecar and a new backend server, both with empty memory, in the place of
    /// the old ones and keeps the old server's log.
    void replace(ServerVm &server);
    /// \brief How often each target was executed.
    std::map<std::string, std::size_t> executions();
    std::size_t executions(const std::string &target);
    /// \brief The server that executes a call at present; nullptr when none does before the default
    /// deadline.
    ServerVm *busyServer();

private:
    SystemFixture &m_system;
    std::map<std::string, std::size_t> m_replacedCounts;
};

} // namespace foxtailring::harness
