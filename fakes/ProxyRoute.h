#pragma once

#include "ProxyCounters.h"
#include "ProxyFaults.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace foxtailring::fakes {

class ProxyConnection;

/// \brief One listening port of the proxy, its target, faults and connections. Runs on one thread.
class ProxyRoute
{
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;

    /// \brief Throws std::exception when \a listen cannot be bound.
    ProxyRoute(boost::asio::io_context &context, const Endpoint &listen, Endpoint target);
    ~ProxyRoute();

    std::uint16_t port() const;
    /// \brief Applies the members of \a faults, which fault-proxy.cpp lists. Throws std::exception
    /// on a malformed or unknown member.
    void apply(const nlohmann::json &faults);
    /// \brief Takes all faults off and resets the connections that have lost bytes.
    void reset();
    nlohmann::json stats() const;

private:
    using Connections = std::set<std::shared_ptr<ProxyConnection>>;

    void bind();
    void listen();
    void accept();
    void setRefuse(bool refuse);
    void setOneWay(const nlohmann::json &direction);
    void proceed();
    void cut();

    Endpoint m_listen;
    Endpoint m_target;
    ProxyFaults m_faults;
    ProxyCounters m_counters;
    Connections m_connections;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace foxtailring::fakes
