#include "foxtailring/decisions/servers/ServerMemory.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace foxtailring {

namespace {

// Part of what a server held as it failed that servers of its service may hold from then on: the
// other gateways send to it as well.
constexpr std::size_t limitNumerator = 3;
constexpr std::size_t limitDenominator = 4;
// A limit doubles after each of these times without new evidence, since servers crash for other
// reasons too, and ends after maxDoublings.
constexpr std::chrono::seconds doublingInterval {30};
constexpr std::int64_t maxDoublings = 5;

} // namespace

ServerMemory::ServerMemory(LimitHook onLimit)
    : m_onLimit(std::move(onLimit))
{
}

void ServerMemory::startRequest(std::string_view service, std::string_view serverId,
                                std::size_t bytes)
{
    auto found = m_servers.find(serverId);
    if (found == m_servers.end())
        found = m_servers.emplace(serverId, Server {std::string(service)}).first;
    found->second.bytes += bytes;
    ++found->second.requests;
}

void ServerMemory::endRequest(std::string_view serverId, std::size_t bytes)
{
    const auto found = m_servers.find(serverId);
    if (found == m_servers.end())
        return;
    found->second.bytes -= std::min(bytes, found->second.bytes);
    if (--found->second.requests == 0)
        m_servers.erase(found);
}

void ServerMemory::recordAnswer(std::string_view serverId, TimePoint now)
{
    const auto found = m_servers.find(serverId);
    if (found == m_servers.end() || found->second.isLost)
        return;
    const Server &server = found->second;
    if (server.bytes < minEvidenceBytes)
        return;
    Service &service = m_services[server.service];
    service.survivedBytes = std::max(service.survivedBytes, server.bytes);
    if (service.limit && *service.limit < service.survivedBytes)
        setLimit(server.service, service.survivedBytes, now);
}

// All requests at a server are lost with it, one after the other: the first one shows all bytes.
void ServerMemory::recordCrash(std::string_view serverId, TimePoint now)
{
    const auto found = m_servers.find(serverId);
    if (found != m_servers.end() && !std::exchange(found->second.isLost, true))
        recordOverload(found->second, now);
}

// Servers refuse small requests because their slots are taken.
void ServerMemory::recordRefusal(std::string_view serverId, std::size_t bytes, TimePoint now)
{
    const auto found = m_servers.find(serverId);
    if (found != m_servers.end() && bytes >= minEvidenceBytes)
        recordOverload(found->second, now);
}

// What servers have held before is no proof. If it happens again, servers have become smaller.
void ServerMemory::recordOverload(const Server &server, TimePoint now)
{
    if (server.bytes < minEvidenceBytes)
        return;
    Service &service = m_services[server.service];
    if (server.bytes <= service.survivedBytes) {
        service.survivedBytes /= 2;
        return;
    }
    const std::size_t smaller = server.bytes / limitDenominator * limitNumerator;
    const auto current = limit(server.service, now);
    const std::size_t next = std::max(smaller, service.survivedBytes);
    setLimit(server.service, current ? std::min(*current, next) : next, now);
}

void ServerMemory::setLimit(std::string_view service, std::optional<std::size_t> limit,
                            TimePoint now)
{
    Service &limited = m_services.find(service)->second;
    limited.limit = limit;
    limited.limitedAt = now;
    if (m_onLimit)
        m_onLimit(service, limit);
}

// A server without a request of this process gets one of any size: nothing else could be learned,
// and a request may not be held back for good.
bool ServerMemory::hasRoom(std::string_view service, std::string_view serverId, std::size_t bytes,
                           TimePoint now) const
{
    if (bytes <= maxSmallRequestBytes)
        return true;
    const auto most = limit(service, now);
    const std::size_t before = held(serverId);
    return !most || before == 0 || before + bytes <= *most;
}

std::optional<std::size_t> ServerMemory::limit(std::string_view service, TimePoint now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.limit)
        return std::nullopt;
    const std::int64_t doublings = (now - found->second.limitedAt) / doublingInterval;
    if (doublings >= maxDoublings)
        return std::nullopt;
    return *found->second.limit << std::max<std::int64_t>(doublings, 0);
}

std::size_t ServerMemory::held(std::string_view serverId) const
{
    const auto found = m_servers.find(serverId);
    return found == m_servers.end() ? 0 : found->second.bytes;
}

} // namespace foxtailring
