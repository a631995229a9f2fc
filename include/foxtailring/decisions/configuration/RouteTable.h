#pragma once

#include "foxtailring/decisions/configuration/RouteConfig.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace foxtailring {

/// \brief Indexes the routes, accounts and services of a RouteConfig. Immutable.
class RouteTable
{
public:
    explicit RouteTable(RouteConfig config);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    std::int64_t version() const { return m_config.version; }
    const RouteConfig &config() const { return m_config; }

    /// \brief Returns the route with the longest prefix of \a path; null if there is none.
    /// \param host case-insensitive, with or without a port
    const HttpRoute *route(std::string_view host, std::string_view path) const;
    /// \brief Returns the account with this API key; null if there is none.
    const KeyedAccount *account(std::string_view key) const;
    /// \brief Place of a run on \a route in the order in which those of its service go, 0 first.
    ///
    /// The priority of the account with this key decides, or that of the route if it has none;
    /// among equal ones, that of the route. None if all runs of the service are equal.
    std::optional<std::uint32_t> urgency(const HttpRoute &route, std::string_view key) const;
    /// \brief True if the routes of runs to a service of \a route differ in priority.
    bool hasRankedRoutes(const HttpRoute &route) const;
    /// \brief True if that is so for any route.
    bool hasRankedRoutes() const { return m_hasRankedRoutes; }
    /// \brief Returns null if the service is not in the configuration.
    const RoutedService *service(std::string_view name) const;
    /// \brief Number of services whose servers are engines.
    std::size_t engineServiceCount() const;

private:
    /// Priorities of the account, or else of the route, and of the route.
    using Rank = std::pair<std::uint32_t, std::uint32_t>;

    void addRanks(const HttpRoute &route);

    const RouteConfig m_config;
    std::map<std::string, std::vector<const HttpRoute *>, std::less<>> m_byHost; ///< longest first
    std::unordered_map<std::string_view, const KeyedAccount *> m_byKey;
    std::unordered_map<std::string_view, const RoutedService *> m_byService;
    std::map<std::string_view, std::set<Rank>> m_ranks; ///< of runs, by service
    bool m_hasRankedRoutes = false;
};

} // namespace foxtailring
