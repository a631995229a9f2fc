#include "foxtailring/decisions/servers/ServerPace.h"

#include "foxtailring/decisions/servers/BackendInfo.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace foxtailring {

namespace {

using Seconds = std::chrono::duration<double>;

// Weights of the latest work in the moving averages of a server and of a service.
constexpr double minServerWeight = 0.1;
constexpr double minServiceWeight = 0.02;
// A server is taken for one of usual speed until it has done some work.
constexpr double assumedServerCount = 4;
// The average of less work says little about a service.
constexpr std::size_t minServiceCount = 10;
// A single unit of work counts as at most so many times slower or faster than usual, so that a few
// slow answers do not make a server slow.
constexpr double maxRatio = 4;
// No machine is slower or faster than usual by more.
constexpr double maxTold = 100;
// Routes come and go with the configuration; beyond this number none is added.
constexpr std::size_t maxKinds = 1000;
// The pace of a shared machine changes every few hundred milliseconds. By then what it told says
// nothing of the present one.
constexpr Seconds maxToldAge {0.6};

double clampedLog(double ratio)
{
    return std::log(std::clamp(ratio, 1 / maxRatio, maxRatio));
}

} // namespace

void ServerPace::Average::add(double value, double minWeight, double initialCount)
{
    ++count;
    const double weight = std::max(minWeight, 1 / (static_cast<double>(count) + initialCount));
    log += weight * (value - log);
}

void ServerPace::recordWork(const BackendInfo &server, std::string_view kind, Duration duration,
                            TimePoint now)
{
    if (duration <= Duration {0})
        return;
    Server &worker = serverOf(server.id);
    // What the machine told of this moment is not part of its usual speed.
    const double seconds = Seconds(duration).count() / toldNow(worker, now);
    Average &usual = averageOf(server.service, kind);
    if (usual.count >= minServiceCount)
        worker.speed.add(clampedLog(seconds / std::exp(usual.log)), minServerWeight,
                         assumedServerCount);
    usual.add(std::log(seconds), minServiceWeight, 0);
}

void ServerPace::recordTold(std::string_view serverId, double relativeDuration, TimePoint now)
{
    Server &server = serverOf(serverId);
    server.told = std::clamp(relativeDuration, 1 / maxTold, maxTold);
    server.toldAt = now;
    m_isTold = true;
}

void ServerPace::forget(std::string_view serverId)
{
    if (const auto found = m_servers.find(serverId); found != m_servers.end())
        m_servers.erase(found);
}

double ServerPace::relativeDuration(std::string_view serverId, TimePoint now) const
{
    return reading(serverId, now).relativeDuration;
}

PaceReading ServerPace::reading(std::string_view serverId, TimePoint now) const
{
    PaceReading reading;
    const auto found = m_servers.find(serverId);
    if (found == m_servers.end())
        return reading;
    const Server &server = found->second;
    reading.relativeDuration = std::exp(server.speed.log) * toldNow(server, now);
    if (server.toldAt)
        reading.toldAge = now - *server.toldAt;
    return reading;
}

std::optional<Duration> ServerPace::usualDuration(std::string_view service,
                                                  std::string_view kind) const
{
    const auto kinds = m_services.find(service);
    if (kinds == m_services.end())
        return std::nullopt;
    const auto found = kinds->second.find(kind);
    if (found == kinds->second.end() || found->second.count < minServiceCount)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(Seconds(std::exp(found->second.log)));
}

double ServerPace::toldNow(const Server &server, TimePoint now)
{
    if (!server.toldAt)
        return 1;
    const double freshness = std::clamp(1 - Seconds(now - *server.toldAt) / maxToldAge, 0.0, 1.0);
    return 1 + (server.told - 1) * freshness;
}

ServerPace::Server &ServerPace::serverOf(std::string_view serverId)
{
    return m_servers.try_emplace(std::string(serverId)).first->second;
}

ServerPace::Average &ServerPace::averageOf(std::string_view service, std::string_view kind)
{
    Averages &kinds = m_services.try_emplace(std::string(service)).first->second;
    if (kinds.size() >= maxKinds && !kinds.contains(kind))
        kinds.clear();
    return kinds.try_emplace(std::string(kind)).first->second;
}

} // namespace foxtailring
