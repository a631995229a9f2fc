#pragma once

#include "ProxyRoute.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace foxtailring::fakes {

class FakeExchange;

/// \brief Routes of the fault-injecting TCP proxy, run by one thread of their own.
class FaultProxy
{
public:
    /// \brief Adds a route given as `[NAME@]LISTEN=TARGET`; returns its name and port. To be called
    /// before start(). Throws std::exception when it is malformed or cannot be bound.
    std::pair<std::string, std::uint16_t> addRoute(const std::string &text);
    /// \brief Starts the thread. The object must live until the process ends.
    void start();
    /// \brief Answers one control request.
    void handle(FakeExchange &exchange);

private:
    /// \brief Runs \a task on the proxy's thread and returns or throws what it does.
    nlohmann::json onThread(std::function<nlohmann::json()> task);
    void applyTo(const std::string &name, const nlohmann::json &faults);
    nlohmann::json stats() const;

    boost::asio::io_context m_context;
    std::map<std::string, ProxyRoute> m_routes;
};

} // namespace foxtailring::fakes
