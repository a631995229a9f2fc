#include "foxtailring/decisions/configuration/ConfigDifference.h"

#include "foxtailring/decisions/configuration/RouteConfig.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace foxtailring {

namespace {

constexpr std::string_view kindNames[] = {"idempotent", "non-idempotent", "stream"};

std::string textOf(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

std::string textOf(std::uint64_t number)
{
    return std::to_string(number);
}

std::string textOf(bool flag)
{
    return flag ? "yes" : "no";
}

std::string textOf(CallKind kind)
{
    return std::string(kindNames[static_cast<std::size_t>(kind)]);
}

std::string textOf(const std::optional<std::uint32_t> &number)
{
    return number ? std::to_string(*number) : "none";
}

std::string textOf(const std::vector<RouteTarget> &targets)
{
    std::string text;
    for (const RouteTarget &target : targets)
        text += (text.empty() ? "" : ", ") + target.service
            + (targets.size() > 1 ? ':' + std::to_string(target.weight) : "");
    return text;
}

bool isEqual(const std::vector<RouteTarget> &a, const std::vector<RouteTarget> &b)
{
    return textOf(a) == textOf(b);
}

template <typename Value>
bool isEqual(const Value &a, const Value &b)
{
    return a == b;
}

class Comparer
{
public:
    Comparer(const RouteConfig &inForce, const RouteConfig &next)
        : m_inForce(inForce)
        , m_next(next)
    {
    }

    std::vector<ConfigChange> run()
    {
        if (m_next.version <= m_inForce.version)
            m_changes.push_back({"version",
                                 textOf(static_cast<std::uint64_t>(m_inForce.version)) + " -> "
                                     + textOf(static_cast<std::uint64_t>(m_next.version)),
                                 "gateways keep the version in force: it is not lower", false});
        compareLimits();
        compareRoutes();
        compareServices();
        compareAccounts();
        return std::move(m_changes);
    }

private:
    template <typename Value>
    void compare(const std::string &place, std::string_view field, const Value &before,
                 const Value &after, std::string_view effect)
    {
        if (!isEqual(before, after))
            m_changes.push_back({place,
                                 std::string(field) + ' ' + textOf(before) + " -> " + textOf(after),
                                 std::string(effect), false});
    }

    void compareLimits()
    {
        const CallerLimits &before = m_inForce.limits;
        const CallerLimits &after = m_next.limits;
        compare("limits", "head bytes", std::uint64_t(before.maxHeaderBytes),
                std::uint64_t(after.maxHeaderBytes), "larger heads are refused with 431");
        compare("limits", "body bytes", std::uint64_t(before.maxBodyBytes),
                std::uint64_t(after.maxBodyBytes), "larger bodies are refused with 413");
        compare("limits", "time for a request to arrive", before.headerTimeout, after.headerTimeout,
                "slower requests are refused with 408");
        compare("limits", "idle time", before.idleTimeout, after.idleTimeout,
                "applies to connections that become idle from then on if it is shorter");
    }

    static std::pair<std::string, std::string> keyOf(const HttpRoute &route)
    {
        return {route.host, route.pathPrefix};
    }

    static std::string placeOf(const HttpRoute &route)
    {
        const std::string path = route.host + route.pathPrefix;
        return route.name.empty() ? "route " + path : "route \"" + route.name + "\" (" + path + ')';
    }

    void compareRoutes()
    {
        std::map<std::pair<std::string, std::string>, const HttpRoute *> after;
        for (const HttpRoute &route : m_next.routes)
            after.emplace(keyOf(route), &route);
        std::set<std::pair<std::string, std::string>> known;
        for (const HttpRoute &route : m_inForce.routes) {
            known.insert(keyOf(route));
            const auto found = after.find(keyOf(route));
            if (found == after.end())
                m_changes.push_back({placeOf(route), "removed",
                                     "its requests go to a shorter prefix or get 404", true});
            else
                compareRoute(route, *found->second);
        }
        for (const HttpRoute &route : m_next.routes) {
            if (known.insert(keyOf(route)).second)
                m_changes.push_back({placeOf(route), "added",
                                     "its requests go to " + textOf(route.targets), false});
        }
    }

    void compareRoute(const HttpRoute &before, const HttpRoute &after)
    {
        const std::string place = placeOf(before);
        compare(place, "name", before.name, after.name, "metrics begin anew under this name");
        compare(place, "services", before.targets, after.targets,
                "requests that arrive from then on go there");
        compare(place, "kind", before.kind, after.kind, "changes what may run more than once");
        compare(place, "timeout", before.timeout, after.timeout,
                "requests without an answer by then get 504");
        compare(place, "objective", before.latencyObjective, after.latencyObjective,
                "changes which requests are taken when room is short");
        compare(place, "attempts", std::uint64_t(before.maxAttempts),
                std::uint64_t(after.maxAttempts), "servers that one request may run on");
        compare(place, "priority", std::uint64_t(before.priority), std::uint64_t(after.priority),
                "0 goes first when room is short");
        compare(place, "resumable", before.isResumable, after.isResumable,
                "whether its streams go on after a server is lost");
        compare(place, "pause between events", before.maxEventGap, after.maxEventGap,
                "a longer silence is a failure of the server");
        compare(place, "public", before.isPublic, after.isPublic,
                after.isPublic ? "requests without a key are served"
                               : "requests without a key get 401");
        if (before.isPublic && !after.isPublic)
            m_changes.back().endsService = true;
    }

    static std::string textOf(const std::string &text) { return '"' + text + '"'; }
    template <typename Value>
    static std::string textOf(const Value &value)
    {
        return foxtailring::textOf(value);
    }

    void compareServices()
    {
        std::map<std::string_view, const RoutedService *> after;
        for (const RoutedService &service : m_next.services)
            after.emplace(service.name, &service);
        std::set<std::string_view> known;
        for (const RoutedService &service : m_inForce.services) {
            known.insert(service.name);
            const std::string place = "service \"" + service.name + '"';
            const auto found = after.find(service.name);
            if (found == after.end()) {
                m_changes.push_back(
                    {place, "removed", "no route may lead there; its servers are not used", true});
                continue;
            }
            compare(place, "connections per server", std::uint64_t(service.maxConnections),
                    std::uint64_t(found->second->maxConnections),
                    "idle connections are shared anew");
            compare(place, "memory in tokens", service.memoryTokens, found->second->memoryTokens,
                    "changes how many runs a server is given");
        }
        for (const RoutedService &service : m_next.services) {
            if (!known.contains(service.name))
                m_changes.push_back(
                    {"service \"" + service.name + '"', "added", "its servers may be used", false});
        }
    }

    // An account may stand in the list more than once.
    static std::map<std::string_view, std::set<std::string_view>> keysOf(const RouteConfig &config)
    {
        std::map<std::string_view, std::set<std::string_view>> keys;
        for (const KeyedAccount &account : config.accounts)
            keys[account.name].insert(account.keys.begin(), account.keys.end());
        return keys;
    }

    void compareAccounts()
    {
        if (m_inForce.hasAccounts != m_next.hasAccounts)
            m_changes.push_back({"accounts", m_next.hasAccounts ? "added" : "removed",
                                 m_next.hasAccounts ? "requests without a key get 401"
                                                    : "every request is served without a key",
                                 m_next.hasAccounts});
        const auto before = keysOf(m_inForce);
        const auto after = keysOf(m_next);
        for (const auto &[name, keys] : before)
            compareKeys(name, keys, after);
        for (const auto &[name, keys] : after) {
            if (!before.contains(name))
                m_changes.push_back({placeOfAccount(name), "added",
                                     textOf(std::uint64_t(keys.size())) + " keys are accepted",
                                     false});
        }
        comparePriorities();
    }

    static std::string placeOfAccount(std::string_view name)
    {
        return "account \"" + std::string(name) + '"';
    }

    void compareKeys(std::string_view name, const std::set<std::string_view> &before,
                     const std::map<std::string_view, std::set<std::string_view>> &accounts)
    {
        const auto found = accounts.find(name);
        if (found == accounts.end())
            return m_changes.push_back({placeOfAccount(name), "removed",
                                        "requests with its " + textOf(std::uint64_t(before.size()))
                                            + " keys get 401, also on open connections",
                                        true});
        const auto missingFrom = [](const auto &from, const auto &keys) {
            return std::uint64_t(std::count_if(keys.begin(), keys.end(), [&from](const auto &key) {
                return !from.contains(key);
            }));
        };
        const std::uint64_t removed = missingFrom(found->second, before);
        const std::uint64_t added = missingFrom(before, found->second);
        if (removed > 0)
            m_changes.push_back({placeOfAccount(name), textOf(removed) + " keys taken away",
                                 "requests with them get 401, also on open connections", true});
        if (added > 0)
            m_changes.push_back(
                {placeOfAccount(name), textOf(added) + " keys added", "they are accepted", false});
    }

    void comparePriorities()
    {
        std::map<std::string_view, std::optional<std::uint32_t>> before;
        for (const KeyedAccount &account : m_inForce.accounts)
            before.emplace(account.name, account.priority);
        for (const KeyedAccount &account : m_next.accounts) {
            const auto found = before.find(account.name);
            if (found != before.end())
                compare(placeOfAccount(account.name), "priority", found->second, account.priority,
                        "goes before the priority of the route");
        }
    }

    const RouteConfig &m_inForce;
    const RouteConfig &m_next;
    std::vector<ConfigChange> m_changes;
};

} // namespace

std::vector<ConfigChange> ConfigDifference::between(const RouteConfig &inForce,
                                                    const RouteConfig &next)
{
    return Comparer(inForce, next).run();
}

} // namespace foxtailring
