#pragma once

#include "foxtailring/decisions/configuration/AdapterResource.h"
#include "foxtailring/decisions/configuration/BackendServerResource.h"
#include "foxtailring/decisions/configuration/ClientAccountResource.h"
#include "foxtailring/decisions/configuration/ModelResource.h"
#include "foxtailring/decisions/configuration/ServiceResource.h"
#include "foxtailring/decisions/configuration/StoredResource.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailring {

/// \brief Every resource at one revision. Immutable once it is shared.
struct ConfigSnapshot
{
    using Key = std::pair<std::string, std::string>; ///< kind and name

    std::int64_t revision = 0; ///< store revision; 0: no configuration yet
    std::int64_t epoch = 0;    ///< of the store, in which the revision is valid
    std::map<Key, StoredResource> resources;
    std::map<std::string, ServiceResource, std::less<>> services;
    std::map<std::string, ClientAccountResource, std::less<>> accounts;
    std::map<std::string, ModelResource, std::less<>> models;
    std::map<std::string, AdapterResource, std::less<>> adapters;
    std::map<std::string, BackendServerResource, std::less<>> backendServers;

    const ServiceResource *service(std::string_view name) const;
    /// \brief True when an operator set the backend server \a nodeId to drain.
    bool isDraining(std::string_view nodeId) const;
    /// \brief Returns the service that serves a model or an adapter; nullptr when there is none.
    const ServiceResource *serviceForModel(std::string_view modelOrAdapter) const;
    /// \brief Returns the account with that key hash; nullptr when there is none.
    const ClientAccountResource *accountByKeyHash(std::string_view keySha256) const;
};

} // namespace foxtailring
