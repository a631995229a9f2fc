#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace foxtailring::harness {

class SystemFixture;
struct ServerVm;

/// \brief Counts the executed calls of the plain service over all servers, including replaced ones.
class ServiceLog
{
public:
    explicit ServiceLog(SystemFixture &system);

    /// \brief Replaces sidecar and backend server by new processes with empty memory and keeps the
    /// old server's log. Throws std::runtime_error when the old server does not become idle.
    void replace(ServerVm &server);
    /// \brief Number of executions by target.
    std::map<std::string, std::size_t> executions();
    std::size_t executions(const std::string &target);
    /// \brief Waits for a server that is executing a call; nullptr when none does within the
    /// default timeout.
    ServerVm *busyServer();

private:
    SystemFixture &m_system;
    std::map<std::string, std::size_t> m_replacedCounts;
};

} // namespace foxtailring::harness
