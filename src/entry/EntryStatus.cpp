#include "EntryStatus.h"

#include "EntryParts.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

std::string stateName(ServerStatus status)
{
    switch (status) {
    case ServerStatus::Live:
        return "live";
    case ServerStatus::Leaving:
        return "leaving";
    case ServerStatus::Suspected:
        return "suspected";
    case ServerStatus::Lost:
        break;
    }
    return "gone";
}

std::int64_t revisionOf(const EntryParts &parts, const ServerState &server)
{
    // The acknowledgement of an update arrives before the next report.
    return std::max(parts.links.revision(server.info->id), server.configRevision);
}

nlohmann::json serverJson(const EntryParts &parts, const ServerState &server)
{
    nlohmann::json json {{"id", server.info->id},
                         {"address", server.info->address},
                         {"availabilityZone", server.info->availabilityZone},
                         {"state", stateName(server.status)},
                         {"running", server.running},
                         {"waiting", server.waiting},
                         {"capacity", server.capacity},
                         {"ownInFlight", server.ownInFlight},
                         {"revision", revisionOf(parts, server)}};
    if (server.reportAge != Duration::max())
        json["reportAgeMs"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(server.reportAge).count();
    return json;
}

} // namespace

std::vector<NodeRevision> EntryStatus::nodes(const EntryParts &parts, bool isServing)
{
    std::vector<NodeRevision> out;
    out.push_back({parts.settings.nodeId, "entry", isServing ? "live" : "leaving",
                   parts.settings.availabilityZone, parts.config.revision()});
    const TimePoint now = parts.clock();
    for (const std::string &service : parts.servers.services()) {
        for (const ServerState &server : parts.servers.servers(service, now)) {
            const ServerInfo &info = *server.info;
            out.push_back({info.id, "sidecar", stateName(server.status), info.availabilityZone,
                           revisionOf(parts, server)});
        }
    }
    return out;
}

std::string EntryStatus::json(const EntryParts &parts)
{
    const TimePoint now = parts.clock();
    nlohmann::json services = nlohmann::json::object();
    for (const std::string &service : parts.servers.services()) {
        nlohmann::json servers = nlohmann::json::array();
        for (const ServerState &server : parts.servers.servers(service, now))
            servers.push_back(serverJson(parts, server));
        services[service] = {{"servers", std::move(servers)},
                             {"running", parts.admissionController.running(service)},
                             {"queued", parts.admissionController.queued(service)},
                             {"resumesWaiting", parts.resumeAdmission.waiting(service)}};
    }
    const nlohmann::json json {{"node", parts.settings.nodeId},
                               {"revision", parts.config.revision()},
                               {"generations", parts.generations.size()},
                               {"calls", parts.calls.size()},
                               {"services", std::move(services)}};
    return json.dump();
}

} // namespace foxtailring
