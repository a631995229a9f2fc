#include "FaultProxy.h"

#include "Address.h"
#include "FakeExchange.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <stdexcept>
#include <thread>

namespace foxtailring::fakes {

namespace {

const std::string routesPrefix = "/fake/routes/";

} // namespace

std::pair<std::string, std::uint16_t> FaultProxy::addRoute(const std::string &text)
{
    const std::size_t at = text.find('@');
    const std::string name =
        at == std::string::npos ? "route" + std::to_string(m_routes.size()) : text.substr(0, at);
    const std::string addresses = at == std::string::npos ? text : text.substr(at + 1);
    const std::size_t equals = addresses.find('=');
    if (equals == std::string::npos)
        throw std::invalid_argument("route \"" + text + "\" is not [NAME@]LISTEN=TARGET");
    const auto [route, isNew] =
        m_routes.try_emplace(name, m_context, parseAddress(addresses.substr(0, equals)),
                             parseAddress(addresses.substr(equals + 1)));
    if (!isNew)
        throw std::invalid_argument("two routes are named " + name);
    return {name, route->second.port()};
}

void FaultProxy::start()
{
    std::thread([this] {
        const auto guard = boost::asio::make_work_guard(m_context);
        m_context.run();
    }).detach();
}

void FaultProxy::handle(FakeExchange &exchange)
{
    const std::string path = exchange.path();
    if (path == "/fake/stats")
        return exchange.respond(200, onThread([this] { return stats(); }));
    if (path == "/fake/reset") {
        exchange.respond(200, onThread([this] {
                             for (auto &[name, route] : m_routes)
                                 route.reset();
                             return stats();
                         }));
    } else if (path.starts_with(routesPrefix)) {
        const std::string name = path.substr(routesPrefix.size());
        exchange.respond(200, onThread([this, &name, faults = exchange.json()] {
                             applyTo(name, faults);
                             return stats();
                         }));
    }
}

nlohmann::json FaultProxy::onThread(std::function<nlohmann::json()> task)
{
    auto packaged = std::make_shared<std::packaged_task<nlohmann::json()>>(std::move(task));
    auto result = packaged->get_future();
    boost::asio::post(m_context, [packaged] { (*packaged)(); });
    return result.get();
}

void FaultProxy::applyTo(const std::string &name, const nlohmann::json &faults)
{
    const auto found = m_routes.find(name);
    if (found == m_routes.end())
        throw std::invalid_argument("no route is named \"" + name + '"');
    found->second.apply(faults);
}

nlohmann::json FaultProxy::stats() const
{
    nlohmann::json routes = nlohmann::json::object();
    for (const auto &[name, route] : m_routes)
        routes[name] = route.stats();
    return {{"routes", std::move(routes)}};
}

} // namespace foxtailring::fakes
