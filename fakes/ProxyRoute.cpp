#include "ProxyRoute.h"

#include "Address.h"
#include "FaultMembers.h"
#include "ProxyConnection.h"

#include <stdexcept>

namespace foxtailring::fakes {

using boost::asio::ip::tcp;

ProxyRoute::ProxyRoute(boost::asio::io_context &context, const Endpoint &listenOn, Endpoint target)
    : m_listen(listenOn)
    , m_target(std::move(target))
    , m_acceptor(context)
{
    bind();
    m_listen.port(m_acceptor.local_endpoint().port());
    listen();
}

ProxyRoute::~ProxyRoute() = default;

std::uint16_t ProxyRoute::port() const
{
    return m_listen.port();
}

void ProxyRoute::apply(const nlohmann::json &faults)
{
    checkFaultMembers(faults,
                      {"cut", "refuse", "delayMs", "oneWay", "silentExisting", "freeze",
                       "truncateAfter", "target"});
    if (faults.contains("target"))
        m_target = parseAddress(faults["target"].get<std::string>());
    m_faults.freeze = faults.value("freeze", m_faults.freeze);
    m_faults.delay =
        std::chrono::milliseconds(faults.value("delayMs", std::int64_t(m_faults.delay.count())));
    if (faults.contains("truncateAfter")) {
        m_faults.truncateAfter.reset();
        if (!faults["truncateAfter"].is_null())
            m_faults.truncateAfter = faults["truncateAfter"].get<std::uint64_t>();
    }
    if (faults.contains("oneWay"))
        setOneWay(faults["oneWay"]);
    if (faults.contains("refuse"))
        setRefuse(faults["refuse"].get<bool>());
    if (faults.value("silentExisting", false)) {
        for (const auto &connection : m_connections)
            connection->goSilent();
    }
    if (faults.value("cut", false))
        cut();
    proceed();
}

void ProxyRoute::reset()
{
    setRefuse(false);
    m_faults = {};
    const Connections connections = m_connections;
    for (const auto &connection : connections) {
        if (connection->isSilent())
            connection->close(ProxyConnection::Close::Reset);
    }
    proceed();
}

nlohmann::json ProxyRoute::stats() const
{
    return {{"port", port()},
            {"accepted", m_counters.accepted},
            {"open", m_connections.size()},
            {"toTargetBytes", m_counters.toTargetBytes},
            {"toClientBytes", m_counters.toClientBytes},
            {"swallowedBytes", m_counters.swallowedBytes}};
}

void ProxyRoute::bind()
{
    m_acceptor.open(m_listen.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_listen);
}

void ProxyRoute::listen()
{
    m_acceptor.listen();
    accept();
}

void ProxyRoute::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (m_faults.refuse || error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            ++m_counters.accepted;
            auto holder = std::make_shared<std::weak_ptr<ProxyConnection>>();
            auto connection = std::make_shared<ProxyConnection>(
                std::move(socket), m_faults, m_counters,
                [this, holder] { m_connections.erase(holder->lock()); });
            *holder = connection;
            m_connections.insert(connection);
            connection->start(m_target);
        }
        accept();
    });
}

// A socket that is bound but does not listen refuses connections and keeps the port reserved.
void ProxyRoute::setRefuse(bool refuse)
{
    if (refuse == m_faults.refuse)
        return;
    m_faults.refuse = refuse;
    if (!refuse)
        return listen();
    m_acceptor.close();
    bind();
}

void ProxyRoute::setOneWay(const nlohmann::json &direction)
{
    if (!direction.is_null() && direction != "to-target" && direction != "to-client")
        throw std::invalid_argument("oneWay is \"to-target\", \"to-client\" or null");
    m_faults.dropToTarget = direction == "to-target";
    m_faults.dropToClient = direction == "to-client";
}

void ProxyRoute::proceed()
{
    const Connections connections = m_connections;
    for (const auto &connection : connections)
        connection->proceed();
}

void ProxyRoute::cut()
{
    const Connections connections = m_connections;
    for (const auto &connection : connections)
        connection->close(ProxyConnection::Close::Reset);
}

} // namespace foxtailring::fakes
