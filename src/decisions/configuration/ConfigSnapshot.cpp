#include "foxtailring/decisions/configuration/ConfigSnapshot.h"

#include <algorithm>

namespace foxtailring {

const ServiceResource *ConfigSnapshot::service(std::string_view name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

bool ConfigSnapshot::isDraining(std::string_view nodeId) const
{
    const auto found = backendServers.find(nodeId);
    return found != backendServers.end() && found->second.drain;
}

const ServiceResource *ConfigSnapshot::serviceForModel(std::string_view modelOrAdapter) const
{
    const auto adapter = adapters.find(modelOrAdapter);
    const std::string_view model =
        adapter == adapters.end() ? modelOrAdapter : std::string_view(adapter->second.model);
    for (const auto &[name, service] : services) {
        const auto &served = service.models;
        if (std::find(served.begin(), served.end(), model) != served.end())
            return &service;
    }
    return nullptr;
}

const ClientAccountResource *ConfigSnapshot::accountByKeyHash(std::string_view keySha256) const
{
    const auto found = std::find_if(accounts.begin(), accounts.end(), [&](const auto &entry) {
        return entry.second.keySha256 == keySha256;
    });
    return found == accounts.end() ? nullptr : &found->second;
}

} // namespace foxtailring
