#include "foxtailring/decisions/configuration/ConfigCheck.h"

#include "foxtailring/decisions/admission/MemoryBudget.h"
#include "foxtailring/decisions/configuration/ConfigSurroundings.h"
#include "foxtailring/decisions/configuration/RouteConfig.h"
#include "foxtailring/decisions/configuration/RouteTable.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace foxtailring {

namespace {

using Severity = ConfigFinding::Severity;

std::string inQuotes(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

std::string inMs(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

class Checker
{
public:
    Checker(const RouteConfig &config, const ConfigSurroundings &surroundings)
        : m_config(config)
        , m_surroundings(surroundings)
        , m_table(config)
    {
    }

    std::vector<ConfigFinding> run()
    {
        checkServices();
        for (std::size_t i = 0; i < m_config.routes.size(); ++i)
            checkRoute(m_config.routes[i], m_table.config().routes[i]);
        checkNames();
        checkAccounts();
        checkLimits();
        std::stable_sort(m_findings.begin(), m_findings.end(),
                         [](const auto &a, const auto &b) { return a.severity < b.severity; });
        return std::move(m_findings);
    }

private:
    void add(Severity severity, std::string place, std::string message)
    {
        m_findings.push_back({severity, std::move(place), std::move(message)});
    }

    static std::string placeOf(const HttpRoute &route)
    {
        return route.name.empty() ? "route " + route.host + route.pathPrefix
                                  : "route " + inQuotes(route.name);
    }

    void checkServices()
    {
        std::set<std::string_view> used;
        for (const HttpRoute &route : m_config.routes) {
            for (const RouteTarget &target : route.targets)
                used.insert(target.service);
        }
        std::set<std::string_view> defined;
        for (const RoutedService &service : m_config.services) {
            const std::string place = "service " + inQuotes(service.name);
            if (!defined.insert(service.name).second)
                add(Severity::Error, place,
                    "is defined twice; the second definition has no effect");
            else if (!used.contains(service.name))
                add(Severity::Warning, place, "no route leads there");
        }
    }

    /// \param indexed the same route in the table that gateways would use
    void checkRoute(const HttpRoute &route, const HttpRoute &indexed)
    {
        const std::string place = placeOf(route);
        checkPath(route, indexed, place);
        checkTargets(route, place);
        checkTimes(route, place);
        checkAttempts(route, place);
    }

    void checkPath(const HttpRoute &route, const HttpRoute &indexed, const std::string &place)
    {
        const bool isPrefix = route.pathPrefix.starts_with('/') && route.pathPrefix.ends_with('/');
        if (!isPrefix)
            add(Severity::Error, place,
                "path prefix " + inQuotes(route.pathPrefix) + " must begin and end with a slash");
        const HttpRoute *winner = m_table.route(route.host, route.pathPrefix);
        if (isPrefix && winner && winner != &indexed)
            add(Severity::Error, place,
                "never matches: " + placeOf(*winner) + " has the same host and path prefix");
    }

    void checkTargets(const HttpRoute &route, const std::string &place)
    {
        std::uint64_t totalWeight = 0;
        for (const RouteTarget &target : route.targets) {
            totalWeight += target.weight;
            const std::string service = "service " + inQuotes(target.service);
            if (!m_table.service(target.service))
                add(Severity::Error, place, service + " is not defined");
            else if (target.weight == 0)
                add(Severity::Warning, place, service + " has weight 0 and gets no requests");
            else if (hasNoServers(target.service))
                add(Severity::Warning, place, service + " has no servers now");
        }
        if (totalWeight == 0)
            add(Severity::Error, place, "all weights are 0, so that no service gets its requests");
    }

    bool hasNoServers(const std::string &service) const
    {
        return m_surroundings.serverCounts && !m_surroundings.serverCounts->contains(service);
    }

    void checkTimes(const HttpRoute &route, const std::string &place)
    {
        if (route.timeout.count() == 0)
            add(Severity::Error, place, "the timeout is 0 ms, so that each request fails");
        else if (route.timeout < route.latencyObjective)
            add(Severity::Error, place,
                "the timeout of " + inMs(route.timeout) + " ends requests before the "
                    + inMs(route.latencyObjective) + " that they may take");
        if (route.kind == CallKind::Stream && route.maxEventGap >= route.timeout
            && route.timeout.count() > 0)
            add(Severity::Warning, place,
                "the allowed pause between events of " + inMs(route.maxEventGap)
                    + " is not under the timeout of " + inMs(route.timeout));
        if (route.kind != CallKind::Stream && route.maxEventGap.count() > 0)
            add(Severity::Warning, place, "only streams have an allowed pause between events");
    }

    void checkAttempts(const HttpRoute &route, const std::string &place)
    {
        if (route.maxAttempts > 1 && !route.allowsRetry())
            add(Severity::Warning, place,
                std::to_string(route.maxAttempts)
                    + " attempts have no effect: its requests may run only once");
        if (route.isResumable && route.kind != CallKind::Stream)
            add(Severity::Warning, place, "only streams can resume");
        if (!m_surroundings.serverCounts || !route.allowsRetry())
            return;
        std::size_t servers = 0;
        for (const RouteTarget &target : route.targets) {
            const auto found = m_surroundings.serverCounts->find(target.service);
            servers =
                std::max(servers, found == m_surroundings.serverCounts->end() ? 0 : found->second);
        }
        if (servers > 0 && route.maxAttempts > servers)
            add(Severity::Warning, place,
                std::to_string(route.maxAttempts) + " attempts, but its services have "
                    + std::to_string(servers) + " servers at most");
    }

    void checkNames()
    {
        std::set<std::string_view> names;
        for (const HttpRoute &route : m_config.routes) {
            if (!route.name.empty() && !names.insert(route.name).second)
                add(Severity::Warning, placeOf(route),
                    "another route has this name; logs and metrics do not tell them apart");
        }
    }

    void checkAccounts()
    {
        std::map<std::string_view, std::string_view> holders;
        std::set<std::string_view> names;
        for (const KeyedAccount &account : m_config.accounts) {
            const std::string place = "account " + inQuotes(account.name);
            if (!names.insert(account.name).second)
                add(Severity::Warning, place, "is listed twice");
            if (account.keys.empty())
                add(Severity::Warning, place, "has no key, so that it can send no request");
            for (const std::string &key : account.keys)
                checkKey(key, account, holders, place);
        }
        if (m_config.hasAccounts && holders.empty() && hasProtectedRoute())
            add(Severity::Error, "accounts", "no key is accepted, but routes require one");
    }

    // The message names no key: it may end in a log.
    void checkKey(const std::string &key, const KeyedAccount &account,
                  std::map<std::string_view, std::string_view> &holders, const std::string &place)
    {
        if (key.empty())
            return add(Severity::Error, place, "has an empty key");
        const auto [holder, isNew] = holders.emplace(key, account.name);
        if (isNew)
            return;
        if (holder->second == account.name)
            return add(Severity::Warning, place, "holds a key twice");
        add(Severity::Error, place,
            "a key never matches it: account " + inQuotes(holder->second) + " holds the same key");
    }

    bool hasProtectedRoute() const
    {
        return std::any_of(m_config.routes.begin(), m_config.routes.end(),
                           [](const HttpRoute &route) { return !route.isPublic; });
    }

    void checkLimits()
    {
        const CallerLimits &limits = m_config.limits;
        if (limits.maxHeaderBytes == 0)
            add(Severity::Error, "limits", "a head of 0 bytes refuses each request");
        if (limits.headerTimeout.count() == 0)
            add(Severity::Error, "limits", "a time of 0 ms for the head refuses each request");
        if (limits.idleTimeout.count() == 0)
            add(Severity::Warning, "limits", "connections are closed after each request");
        if (!m_surroundings.gatewayMemoryBytes)
            return;
        const std::size_t largest =
            MemoryBudget::largestRequest(*m_surroundings.gatewayMemoryBytes);
        if (limits.maxBodyBytes > largest)
            add(Severity::Error, "limits",
                "bodies of " + std::to_string(limits.maxBodyBytes)
                    + " bytes are allowed, but the smallest gateway holds "
                    + std::to_string(largest) + " bytes of one request");
    }

    const RouteConfig &m_config;
    const ConfigSurroundings &m_surroundings;
    const RouteTable m_table;
    std::vector<ConfigFinding> m_findings;
};

} // namespace

std::vector<ConfigFinding> ConfigCheck::check(const RouteConfig &config,
                                              const ConfigSurroundings &surroundings)
{
    return Checker(config, surroundings).run();
}

} // namespace foxtailring
