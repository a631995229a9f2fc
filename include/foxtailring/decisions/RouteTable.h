#pragma once

#include "foxtailring/decisions/RouteConfig.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace foxtailring {

/// \brief Lookup of routes, accounts and services in one RouteConfig. Immutable.
class RouteTable
{
public:
    explicit RouteTable(RouteConfig config);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    std::int64_t version() const { return m_config.version; }
    const RouteConfig &config() const { return m_config; }

    /// \brief The route of \a host with the longest prefix of \a path; null when there is none.
    /// \param host with or without a port, in any case
    const HttpRoute *route(std::string_view host, std::string_view path) const;
    /// \brief The account that holds \a key; null when none does.
    const KeyedAccount *account(std::string_view key) const;
    /// \brief Null when the configuration does not describe the service.
    const RoutedService *service(std::string_view name) const;
    /// \brief Services whose servers are engines.
    std::size_t engineServiceCount() const;

private:
    const RouteConfig m_config;
    std::map<std::string, std::vector<const HttpRoute *>, std::less<>> m_byHost; ///< longest first
    std::unordered_map<std::string_view, const KeyedAccount *> m_byKey;
    std::unordered_map<std::string_view, const RoutedService *> m_byService;
};

} // namespace foxtailring
