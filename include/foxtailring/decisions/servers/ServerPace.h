#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/PaceReading.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

struct BackendInfo;

/// \brief How long work takes at each backend server, relative to what is usual for its service.
///
/// Two things count: the usual speed of the server, from the times of its own work compared with
/// the same kind of work at the other servers of its service, and the pace that it tells, which
/// changes many times per second and therefore counts by its age. Not thread-safe.
class ServerPace
{
public:
    /// \brief The server has done a unit of work of this kind: a call of the route that it names.
    void recordWork(const BackendInfo &server, std::string_view kind, Duration duration,
                    TimePoint now);
    /// \brief The server told how long work takes there now; 1: as long as usual.
    void recordTold(std::string_view serverId, double relativeDuration, TimePoint now);
    /// \brief True once a server has told how long work takes there: servers share their machines.
    bool isTold() const { return m_isTold; }
    /// \brief The server has restarted or is gone.
    void forget(std::string_view serverId);

    /// \brief How long work takes at the server, as a multiple of what is usual for its service; 1
    /// if nothing is known of it.
    double relativeDuration(std::string_view serverId, TimePoint now) const;
    /// \brief The same, with the age of what the server told.
    PaceReading reading(std::string_view serverId, TimePoint now) const;
    /// \brief The usual duration of a unit of this kind of work at the servers of the service; none
    /// if too little of it was done.
    std::optional<Duration> usualDuration(std::string_view service, std::string_view kind) const;

private:
    /// A moving average of logarithms: one duration that is far too long moves it as little as one
    /// that is far too short.
    struct Average
    {
        double log = 0;
        std::size_t count = 0;

        void add(double value, double minWeight, double initialCount);
    };
    struct Server
    {
        Average speed; ///< of its work, relative to the service
        double told = 1;
        std::optional<TimePoint> toldAt;
    };
    using Averages = std::map<std::string, Average, std::less<>>; ///< of seconds, by kind of work

    Server &serverOf(std::string_view serverId);
    Average &averageOf(std::string_view service, std::string_view kind);
    static double toldNow(const Server &server, TimePoint now);

    bool m_isTold = false;
    std::map<std::string, Server, std::less<>> m_servers;
    std::map<std::string, Averages, std::less<>> m_services;
};

} // namespace foxtailring
