#pragma once

#include "EntryVm.h"
#include "PlatformStore.h"
#include "ServerVm.h"
#include "SystemOptions.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring::harness {

/// \brief All processes of a system; each connection between them passes the fault proxy.
///
/// Servers and entries alternate between two availability zones in two regions. The destructor
/// kills all processes.
class SystemFixture
{
public:
    static constexpr const char *engineService = "lector-esquemas";
    static constexpr const char *plainService = "registro-planos";
    static constexpr const char *model = "esquemas-32b";
    static constexpr const char *secret = "secret-of-the-process-tests-0123456789";

    /// \brief Starts all processes and waits until they are ready. Throws std::exception on
    /// failure.
    explicit SystemFixture(SystemOptions options);
    ~SystemFixture();
    SystemFixture(const SystemFixture &) = delete;
    SystemFixture &operator=(const SystemFixture &) = delete;

    ServerVm &engine(std::size_t index) { return m_engines.at(index); }
    ServerVm &service(std::size_t index) { return m_services.at(index); }
    EntryVm &entry(std::size_t index) { return m_entries.at(index); }
    std::size_t engineCount() const { return m_engines.size(); }
    std::size_t serviceCount() const { return m_services.size(); }
    std::size_t entryCount() const { return m_entries.size(); }
    PlatformStore &platform() { return *m_store; }

    /// \brief Sets the faults of one proxy route.
    void setRouteFault(const std::string &route, const nlohmann::json &faults);
    /// \brief Sets the faults of the fake platform itself.
    void setPlatformFault(const nlohmann::json &faults);

    /// \brief Replaces the process by a new one behind the same proxy address.
    void startBackend(ServerVm &server);
    void startSidecar(ServerVm &server);
    /// \brief Replaces the process by a new one on the same ports.
    void startEntry(EntryVm &entry);
    /// \brief Writes all servers and entries with their states to the platform's VM list.
    void publishVms();
    /// \brief Waits until every running process is ready and the entries know all servers. Throws
    /// std::runtime_error after the default timeout.
    void waitUntilReady();

    /// \brief Engine that runs the generation with \a tag; of several, the one that resumed after
    /// the longest prefix. Falls back to an engine that has ended it; nullptr when none knows it.
    ServerVm *findEngine(const std::string &tag);
    /// \brief Adds the prompt hash of each generation on a running engine to \a prompts, by tag.
    void collectPromptHashes(std::map<std::string, std::string> &prompts);
    /// \brief Number of generations that the running engines were given, including resumed ones.
    std::size_t generationsStarted();
    /// \brief Error when an engine was told to resume after a prefix that mixes tokens of several
    /// generations.
    std::optional<std::string> resumePrefixError();
    /// \brief Sum over the labels of a node's metrics whose name ends with \a name; 0 when the node
    /// does not answer.
    static double sumMetric(const HttpClient &admin, const std::string &name);

private:
    void addVms();
    void startProxy();
    void setRouteTarget(const std::string &name, std::uint16_t target);
    std::uint16_t routePort(const std::string &name);
    void putResources();
    nlohmann::json toVmJson(const ServerVm &server);

    SystemOptions m_options;
    std::unique_ptr<ChildProcess> m_platform;
    std::unique_ptr<ChildProcess> m_proxy;
    std::unique_ptr<PlatformStore> m_store;
    std::vector<ServerVm> m_engines;
    std::vector<ServerVm> m_services;
    std::vector<EntryVm> m_entries;
};

} // namespace foxtailring::harness
