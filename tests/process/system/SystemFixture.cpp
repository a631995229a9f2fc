#include "SystemFixture.h"

#include <map>
#include <sstream>
#include <stdexcept>

namespace foxtailring::harness {

namespace {

using nlohmann::json;

const std::vector<std::pair<std::string, std::string>> zones = {{"asturias", "oviedo-a"},
                                                                {"cantabria", "santander-a"}};
// For requests to programs that may be paused or hung, whose control port does not answer either.
constexpr std::chrono::milliseconds controlTimeout {1000};

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

// Waits for the output line `admin PORT`.
std::uint16_t readAdminPort(ChildProcess &process)
{
    const std::string prefix = "admin ";
    std::uint16_t port = 0;
    waitUntil([&] {
        for (const std::string &line : process.output()) {
            if (line.starts_with(prefix))
                port = static_cast<std::uint16_t>(std::stoi(line.substr(prefix.size())));
        }
        return port != 0 || !process.isRunning();
    });
    if (port == 0)
        throw std::runtime_error("no line \"admin PORT\" from a program");
    return port;
}

std::string settingsYaml(const std::map<std::string, std::string> &lines, const std::string &extra)
{
    std::string text;
    for (const auto &[key, value] : lines)
        text.append(key).append(": ").append(value).append("\n");
    return text + extra;
}

std::vector<std::string> with(std::vector<std::string> flags, const std::vector<std::string> &extra)
{
    flags.insert(flags.end(), extra.begin(), extra.end());
    return flags;
}

bool respondsOk(const HttpClient &client, const std::string &target)
{
    const auto reply = client.send({"GET", target, {}, {}}, controlTimeout);
    return reply && reply.value().status == 200;
}

// The fake engine's record of its generations; empty when it is dead, paused or hung.
json generationRecords(ServerVm &server)
{
    if (!server.backend->isRunning())
        return json::array();
    const auto reply = server.backendControl().send({"GET", "/fake/stats", {}, {}}, controlTimeout);
    return reply ? json::parse(reply.value().body)["requests"] : json::array();
}

} // namespace

std::uint16_t ServerVm::adminPort()
{
    return readAdminPort(*sidecar);
}

SystemFixture::SystemFixture(SystemOptions options)
    : m_options(std::move(options))
    , m_platform(std::make_unique<ChildProcess>(FAKE_PLATFORM_PATH, m_options.platformFlags))
    , m_store(std::make_unique<PlatformStore>(m_platform->port()))
{
    addVms();
    startProxy();
    putResources();
    for (std::vector<ServerVm> *servers : {&m_engines, &m_services}) {
        for (ServerVm &server : *servers) {
            startBackend(server);
            startSidecar(server);
        }
    }
    for (EntryVm &entry : m_entries)
        startEntry(entry);
    publishVms();
    waitUntilReady();
}

SystemFixture::~SystemFixture() = default;

void SystemFixture::setRouteFault(const std::string &route, const json &faults)
{
    HttpClient(m_proxy->port()).post("/fake/routes/" + route, faults);
}

void SystemFixture::setPlatformFault(const json &faults)
{
    m_store->client().post("/fake/fault", faults);
}

void SystemFixture::startBackend(ServerVm &server)
{
    std::ostringstream tokenMs;
    tokenMs << m_options.tokenMs;
    server.backend.reset();
    server.backend = server.isPlain
        ? std::make_unique<ChildProcess>(FAKE_SERVICE_PATH,
                                         with({"--name", server.name}, m_options.serviceFlags))
        : std::make_unique<ChildProcess>(
            FAKE_ENGINE_PATH,
            with({"--vary", "--token_ms", tokenMs.str(), "--batch_slowdown", "0"},
                 m_options.engineFlags));
    setRouteTarget(server.backendRoute(), server.backend->port());
}

void SystemFixture::startSidecar(ServerVm &server)
{
    server.sidecar.reset();
    server.settings = std::make_unique<TemporaryFile>(
        settingsYaml({{"nodeId", server.name},
                      {"region", server.region},
                      {"availabilityZone", server.availabilityZone},
                      {"service", server.service},
                      {"kind", server.isPlain ? "plain" : "generation"},
                      {"listen", "127.0.0.1:0"},
                      {"admin", "127.0.0.1:0"},
                      {"backend", address(routePort(server.backendRoute()))},
                      {"platform", address(routePort(server.platformRoute()))}},
                     m_options.sidecarSettings));
    server.sidecar = std::make_unique<ChildProcess>(
        FOXTAILRING_SIDECAR_PATH, std::vector<std::string> {"--config", server.settings->path()});
    setRouteTarget(server.entryRoute(), server.sidecar->port());
}

void SystemFixture::startEntry(EntryVm &entry)
{
    entry.process.reset();
    entry.settings = std::make_unique<TemporaryFile>(
        settingsYaml({{"nodeId", entry.name},
                      {"region", entry.region},
                      {"availabilityZone", entry.availabilityZone},
                      {"listen", address(entry.port)},
                      {"admin", address(entry.adminPort)},
                      {"platform", address(routePort(entry.platformRoute()))},
                      {"secret", secret}},
                     m_options.entrySettings));
    entry.process = std::make_unique<ChildProcess>(
        FOXTAILRING_ENTRY_PATH, std::vector<std::string> {"--config", entry.settings->path()});
    const std::uint16_t admin = readAdminPort(*entry.process);
    // The ports of a restarted entry stay the same and are not written, since callers on other
    // threads read them.
    if (entry.port != 0)
        return;
    entry.port = entry.process->port();
    entry.adminPort = admin;
}

void SystemFixture::publishVms()
{
    json vms = json::array();
    for (std::vector<ServerVm> *servers : {&m_engines, &m_services}) {
        for (const ServerVm &server : *servers)
            vms.push_back(toVmJson(server));
    }
    for (const EntryVm &entry : m_entries) {
        vms.push_back({{"id", entry.name},
                       {"address", address(entry.adminPort)},
                       {"region", entry.region},
                       {"availabilityZone", entry.availabilityZone},
                       {"service", ""},
                       {"role", "entry"},
                       {"state", "live"}});
    }
    const auto reply = m_store->client().send({"PUT", "/fake/vms", {}, json {{"vms", vms}}.dump()});
    if (!reply || reply.value().status != 200)
        throw std::runtime_error("the VM list was not accepted");
}

void SystemFixture::waitUntilReady()
{
    const auto serverCount = static_cast<double>(m_engines.size() + m_services.size());
    const bool ready = waitUntil([&] {
        for (EntryVm &entry : m_entries) {
            if (!entry.process->isRunning())
                continue;
            if (!respondsOk(entry.admin(), "/readyz")
                || sumMetric(entry.admin(), "servers_known") < serverCount)
                return false;
        }
        for (std::vector<ServerVm> *servers : {&m_engines, &m_services}) {
            for (ServerVm &server : *servers) {
                if (server.sidecar->isRunning() && !respondsOk(server.admin(), "/readyz"))
                    return false;
            }
        }
        return true;
    });
    if (!ready)
        throw std::runtime_error("the system did not become ready in time");
}

ServerVm *SystemFixture::findEngine(const std::string &tag)
{
    ServerVm *found = nullptr;
    std::int64_t bestRank = -1;
    for (ServerVm &server : m_engines) {
        for (const json &record : generationRecords(server)) {
            if (std::to_string(record["tag"].get<std::int64_t>()) != tag)
                continue;
            const std::string state = record["state"];
            const bool runs = state != "finished" && state != "cancelled";
            const std::int64_t rank = runs ? 1 + record["resumeTokens"].get<std::int64_t>() : 0;
            if (rank > bestRank) {
                bestRank = rank;
                found = &server;
            }
        }
    }
    return found;
}

std::optional<std::string> SystemFixture::resumePrefixError()
{
    for (ServerVm &server : m_engines) {
        for (const json &record : generationRecords(server)) {
            if (!record["resumeIsOnePrefix"].get<bool>())
                return server.name + " was given a prefix of mixed tokens: " + record.dump();
        }
    }
    return std::nullopt;
}

void SystemFixture::collectPromptHashes(std::map<std::string, std::string> &prompts)
{
    for (ServerVm &server : m_engines) {
        for (const json &record : generationRecords(server))
            prompts[std::to_string(record["tag"].get<std::int64_t>())] = record["promptHash"];
    }
}

std::size_t SystemFixture::generationsStarted()
{
    std::size_t count = 0;
    for (ServerVm &server : m_engines)
        count += generationRecords(server).size();
    return count;
}

double SystemFixture::sumMetric(const HttpClient &admin, const std::string &name)
{
    const auto reply = admin.send({"GET", "/metrics", {}, {}}, controlTimeout);
    std::istringstream lines(reply ? reply.value().body : std::string());
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        // The exporter prefixes each metric with the project's name.
        const std::size_t end = line.find_first_of("{ ");
        if (!line.starts_with('#') && line.substr(0, end).ends_with(name))
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

void SystemFixture::addVms()
{
    const auto zone = [](std::size_t number) { return zones[number % zones.size()]; };
    const auto add = [&](std::vector<ServerVm> &servers, std::size_t count, const char *service,
                         bool isPlain) {
        for (std::size_t number = 0; number < count; ++number)
            servers.push_back({service + ('-' + std::to_string(number)), zone(number).first,
                               zone(number).second, service, isPlain});
    };
    add(m_engines, m_options.engines, engineService, false);
    add(m_services, m_options.services, plainService, true);
    for (std::size_t number = 0; number < m_options.entries; ++number)
        m_entries.push_back(
            {"entry-" + std::to_string(number), zone(number).first, zone(number).second});
}

// Until a program has started and its port is known, its route leads to the platform.
void SystemFixture::startProxy()
{
    const std::string platform = address(m_platform->port());
    std::vector<std::string> routes;
    const auto add = [&](const std::string &name, const std::string &target) {
        routes.insert(routes.end(), {"--route", name + "@127.0.0.1:0=" + target});
    };
    for (const std::vector<ServerVm> *servers : {&m_engines, &m_services}) {
        for (const ServerVm &server : *servers) {
            add(server.entryRoute(), platform);
            add(server.backendRoute(), platform);
            add(server.platformRoute(), platform);
        }
    }
    for (const EntryVm &entry : m_entries)
        add(entry.platformRoute(), platform);
    m_proxy = std::make_unique<ChildProcess>(FAULT_PROXY_PATH, routes);
}

void SystemFixture::setRouteTarget(const std::string &name, std::uint16_t target)
{
    setRouteFault(name, {{"target", address(target)}});
}

std::uint16_t SystemFixture::routePort(const std::string &name)
{
    return m_proxy->port(name);
}

void SystemFixture::putResources()
{
    m_store->put("Model", model, {{"versions", json::array()}});
    m_store->put("Service", engineService,
                 {{"type", "generation"},
                  {"models", {model}},
                  {"latencyWeight", 0.9},
                  {"resourceWeight", 0.1}});
    const json rules = {{{"method", "POST"}, {"pathPrefix", "/notices"}},
                        {{"method", "POST"}, {"pathPrefix", "/locks"}}};
    m_store->put("Service", plainService, {{"type", "plain"}, {"nonIdempotent", rules}});
    for (const std::string account : {"electricians", "contractors"})
        m_store->put("ClientAccount", account,
                     {{"keySha256", sha256(account + "-key")},
                      {"priority", 1},
                      {"maxConcurrent", 500},
                      {"requestsPerSecond", 1000}});
}

json SystemFixture::toVmJson(const ServerVm &server)
{
    return {{"id", server.name},         {"address", address(routePort(server.entryRoute()))},
            {"region", server.region},   {"availabilityZone", server.availabilityZone},
            {"service", server.service}, {"role", "sidecar"},
            {"state", server.state}};
}

} // namespace foxtailring::harness
