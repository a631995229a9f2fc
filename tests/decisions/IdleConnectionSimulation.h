#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/RandomSource.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <vector>

namespace foxtailring {

/// \brief Gateways that send calls to servers which accept a bounded number of connections from all
/// gateways together and reset what comes beyond. There is no network.
class IdleConnectionSimulation
{
public:
    using Ms = std::chrono::milliseconds;
    /// Returns how long \a gateway keeps a connection to \a server that has become idle beside
    /// \a idleCount others.
    using KeepHook = std::function<Ms(std::size_t gateway, std::size_t server,
                                      std::size_t idleCount, TimePoint now)>;

    struct Settings
    {
        std::size_t gateways;
        std::size_t servers;
        double callsPerSecond;
        double skew; ///< fraction of the calls that come to the first tenth of the gateways
        std::uint64_t seed;
        std::size_t serverLimit = 96;
        Ms maxReuseIdle {8000}; ///< a call uses no connection that was idle for longer
    };

    struct Counts
    {
        std::size_t calls = 0;
        std::size_t reused = 0;
        std::size_t opened = 0;
        std::size_t resets = 0;
        std::size_t mostOpen = 0; ///< at one server, idle or at work, including those reset
    };

    IdleConnectionSimulation(const Settings &settings, KeepHook keep)
        : m_settings(settings)
        , m_keep(std::move(keep))
        , m_random(settings.seed)
        , m_open(settings.servers, 0)
        , m_idle(settings.gateways * settings.servers)
    {
    }

    const Counts &run(Ms duration)
    {
        const TimePoint end = m_start + duration;
        at(m_start, [this, end](TimePoint now) { arrive(now, end); });
        while (!m_events.empty()) {
            const auto event = m_events.extract(m_events.begin());
            event.mapped()(event.key());
        }
        return m_counts;
    }

private:
    struct Idle
    {
        std::size_t id;
        TimePoint since;
    };
    using Event = std::function<void(TimePoint)>;

    static constexpr Ms purgeInterval {100};
    static constexpr double meanServiceMs = 60;

    void at(TimePoint time, Event event) { m_events.emplace(time, std::move(event)); }

    Duration drawn(double meanMs)
    {
        const double ms = -std::log1p(-m_random.generateDouble()) * meanMs;
        return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000) + 1);
    }

    std::size_t drawGateway()
    {
        const std::size_t busy = std::max<std::size_t>(m_settings.gateways / 10, 1);
        const bool isBusy = m_random.generateDouble() < m_settings.skew;
        return m_random.bounded(isBusy ? busy : m_settings.gateways);
    }

    void arrive(TimePoint now, TimePoint end)
    {
        if (now >= end)
            return;
        call(drawGateway(), m_random.bounded(m_settings.servers), now);
        at(now + drawn(1000 / m_settings.callsPerSecond),
           [this, end](TimePoint next) { arrive(next, end); });
    }

    std::vector<Idle> &idle(std::size_t gateway, std::size_t server)
    {
        return m_idle[gateway * m_settings.servers + server];
    }

    void call(std::size_t gateway, std::size_t server, TimePoint now)
    {
        ++m_counts.calls;
        auto &kept = idle(gateway, server);
        if (!kept.empty() && now - kept.back().since < m_settings.maxReuseIdle) {
            kept.pop_back();
            ++m_counts.reused;
        } else if (!open(server)) {
            return;
        }
        at(now + drawn(meanServiceMs),
           [this, gateway, server](TimePoint done) { finish(gateway, server, done); });
    }

    bool open(std::size_t server)
    {
        ++m_counts.opened;
        m_counts.mostOpen = std::max(m_counts.mostOpen, m_open[server] + 1);
        if (m_open[server] >= m_settings.serverLimit) {
            ++m_counts.resets;
            return false;
        }
        ++m_open[server];
        return true;
    }

    void finish(std::size_t gateway, std::size_t server, TimePoint now)
    {
        auto &kept = idle(gateway, server);
        const Ms time = m_keep(gateway, server, kept.size(), now);
        if (time.count() == 0) {
            --m_open[server];
            return;
        }
        const std::size_t id = m_nextId++;
        kept.push_back({id, now});
        const auto ticks = (now + time - m_start) / purgeInterval + 1;
        at(m_start + ticks * purgeInterval,
           [this, gateway, server, id](TimePoint) { expire(gateway, server, id); });
    }

    void expire(std::size_t gateway, std::size_t server, std::size_t id)
    {
        m_open[server] -=
            std::erase_if(idle(gateway, server), [id](const Idle &one) { return one.id == id; });
    }

    const Settings m_settings;
    const KeepHook m_keep;
    RandomSource m_random;
    const TimePoint m_start {std::chrono::hours(1)};
    std::multimap<TimePoint, Event> m_events;
    std::vector<std::size_t> m_open;       ///< by server
    std::vector<std::vector<Idle>> m_idle; ///< by gateway and server
    std::size_t m_nextId = 0;
    Counts m_counts;
};

} // namespace foxtailring
