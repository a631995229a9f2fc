#include "foxtailring/decisions/configuration/RouteTable.h"

#include <algorithm>
#include <iterator>

namespace foxtailring {

namespace {

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

// Host names are compared case-insensitively and without the port.
std::string hostKey(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(), lowerCase);
    return key;
}

} // namespace

RouteTable::RouteTable(RouteConfig config)
    : m_config(std::move(config))
{
    for (const HttpRoute &route : m_config.routes)
        m_byHost[hostKey(route.host)].push_back(&route);
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto *a, const auto *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const KeyedAccount &account : m_config.accounts) {
        for (const std::string &key : account.keys)
            m_byKey.emplace(key, &account);
    }
    for (const RoutedService &service : m_config.services)
        m_byService.emplace(service.name, &service);
    for (const HttpRoute &route : m_config.routes)
        addRanks(route);
    m_hasRankedRoutes = std::any_of(m_config.routes.begin(), m_config.routes.end(),
                                    [this](const auto &route) { return hasRankedRoutes(route); });
}

// All that a run on the route may have: accounts that name no priority have that of the route.
void RouteTable::addRanks(const HttpRoute &route)
{
    if (route.kind != CallKind::Stream)
        return;
    std::set<Rank> possible;
    if (!m_config.hasAccounts || route.isPublic)
        possible.insert({route.priority, route.priority});
    for (const KeyedAccount &account : m_config.accounts)
        possible.insert({account.priority.value_or(route.priority), route.priority});
    for (const RouteTarget &target : route.targets)
        m_ranks[target.service].insert(possible.begin(), possible.end());
}

// Among accounts of the same priority, that of the route decides.
std::optional<std::uint32_t> RouteTable::urgency(const HttpRoute &route, std::string_view key) const
{
    const KeyedAccount *holder = route.isPublic ? nullptr : account(key);
    const std::uint32_t first = holder ? holder->priority.value_or(route.priority) : route.priority;
    std::optional<std::uint32_t> urgency;
    for (const RouteTarget &target : route.targets) {
        const auto ranks = m_ranks.find(target.service);
        if (ranks == m_ranks.end() || ranks->second.size() < 2)
            continue;
        const auto own = ranks->second.lower_bound({first, route.priority});
        const auto before = std::distance(ranks->second.begin(), own);
        urgency = std::max(urgency.value_or(0), static_cast<std::uint32_t>(before));
    }
    return urgency;
}

const HttpRoute *RouteTable::route(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(hostKey(host));
    if (found == m_byHost.end())
        return nullptr;
    for (const HttpRoute *route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const KeyedAccount *RouteTable::account(std::string_view key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : found->second;
}

bool RouteTable::hasRankedRoutes(const HttpRoute &route) const
{
    const auto isRanked = [this](const RouteTarget &target) {
        const auto ranks = m_ranks.find(target.service);
        if (ranks == m_ranks.end() || ranks->second.empty())
            return false;
        const std::uint32_t first = ranks->second.begin()->second;
        return std::any_of(ranks->second.begin(), ranks->second.end(),
                           [first](const Rank &rank) { return rank.second != first; });
    };
    return std::any_of(route.targets.begin(), route.targets.end(), isRanked);
}

const RoutedService *RouteTable::service(std::string_view name) const
{
    const auto found = m_byService.find(name);
    return found == m_byService.end() ? nullptr : found->second;
}

std::size_t RouteTable::engineServiceCount() const
{
    const auto isEngine = [](const RoutedService &one) { return one.memoryTokens > 0; };
    return static_cast<std::size_t>(
        std::count_if(m_config.services.begin(), m_config.services.end(), isEngine));
}

} // namespace foxtailring
