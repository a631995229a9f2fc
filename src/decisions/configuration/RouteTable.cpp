#include "foxtailring/decisions/configuration/RouteTable.h"

#include <algorithm>

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
