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

/// \brief All processes of a system, with every link between them behind the fault proxy.
///
/// Servers and entries alternate between two availability zones in two regions. Everything is
/// killed when the object goes.
class SystemFixture
{
public:
    static constexpr const char *engineService = "lector-esquemas";
    static constexpr const char *plainService = "registro-planos";
    static constexpr const char *model = "esquemas-32b";
    static constexpr const char *secret = "secret-of-the-process-tests-0123456789";

    /// \brief Starts everything and waits until it serves. Throws std::exception when it does not.
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

    /// \brief Sets faults of one route of the proxy.
    void setRouteFault(const std::string &route, const nlohmann::json &faults);
    /// \brief Faults of the platform stand-in itself.
    void setPlatformFault(const nlohmann::json &faults);

    /// \brief Starts a new process in the place of the old one, at the same outer address.
    void startBackend(ServerVm &server);
    void startSidecar(ServerVm &server);
    /// \brief Starts a new process, at the same ports as the old one.
    void startEntry(EntryVm &entry);
    /// \brief Puts the servers and entries, with their states, into the platform's VM list.
    void publishVms();
    /// \brief Waits until every running process is ready.
    void waitUntilReady();

    /// \brief The engine that runs the generation with \a tag, after the longest prefix when there
    /// are several, or else one that has ended it; nullptr when none knows it.
    ServerVm *findEngine(const std::string &tag);
    /// \brief Adds what the living engines know to \a prompts: the hash of the prompt by tag.
    void collectPromptHashes(std::map<std::string, std::string> &prompts);
    /// \brief Generations, from the start or after a prefix, that the living engines were given.
    std::size_t generationsStarted();
    /// \brief Nothing when each generation was continued only after an exact prefix of one
    /// generation; else what is wrong.
    std::optional<std::string> resumePrefixError();
    /// \brief Counter \a name in the metrics of a node, summed over its labels.
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
