#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/RandomSource.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <utility>
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
        std::size_t gateways = 0;
        std::size_t servers = 3;
        double callsPerSecond = 1000;
        double skew = 0; ///< fraction of the calls that come to the busy tenth of the gateways
        std::uint64_t seed = 1;
        std::size_t serverLimit = 96;
        Ms maxReuseIdle {8000};  ///< a call uses no connection that was idle for longer
        Ms changeAt {0};         ///< time of what follows; 0: never
        bool shifts = false;     ///< the last tenth of the gateways is busy then, not the first
        bool restarts = false;   ///< all gateways begin anew, without connections
        std::size_t started = 0; ///< gateways that get calls before; 0: all
    };

    struct Counts
    {
        std::size_t calls = 0;
        std::size_t reused = 0;
        std::size_t opened = 0;
        std::size_t resets = 0;
        std::size_t mostOpen = 0; ///< at one server, idle or at work, including those reset
        std::size_t mostIdle = 0; ///< at one server
    };

    IdleConnectionSimulation(const Settings &settings, KeepHook keep)
        : m_settings(settings)
        , m_keep(std::move(keep))
        , m_random(settings.seed)
        , m_open(settings.servers, 0)
        , m_idleCount(settings.servers, 0)
        , m_idle(settings.gateways * settings.servers)
    {
    }

    /// \brief \a hook runs at Settings::changeAt.
    void setChangeHook(std::function<void(TimePoint)> hook) { m_changeHook = std::move(hook); }

    const Counts &run(Ms duration)
    {
        const TimePoint end = m_start + duration;
        if (m_settings.changeAt > Ms(0))
            at(m_start + m_settings.changeAt, [this](TimePoint now) { change(now); });
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

    void change(TimePoint now)
    {
        m_hasChanged = true;
        if (m_settings.restarts) {
            for (auto &kept : m_idle)
                kept.clear();
            for (std::size_t server = 0; server < m_settings.servers; ++server)
                m_open[server] -= std::exchange(m_idleCount[server], 0);
        }
        if (m_changeHook)
            m_changeHook(now);
    }

    std::size_t gatewayCount() const
    {
        const bool isWhole = m_hasChanged || m_settings.started == 0;
        return isWhole ? m_settings.gateways : m_settings.started;
    }

    std::size_t drawGateway()
    {
        const std::size_t count = gatewayCount();
        const std::size_t busy = std::max<std::size_t>(count / 10, 1);
        const bool isBusy = m_random.generateDouble() < m_settings.skew;
        const std::size_t drawn = m_random.bounded(isBusy ? busy : count);
        return m_hasChanged && m_settings.shifts ? count - 1 - drawn : drawn;
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
            --m_idleCount[server];
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
        m_counts.mostIdle = std::max(m_counts.mostIdle, ++m_idleCount[server]);
        const auto ticks = (now + time - m_start) / purgeInterval + 1;
        at(m_start + ticks * purgeInterval,
           [this, gateway, server, id](TimePoint) { expire(gateway, server, id); });
    }

    void expire(std::size_t gateway, std::size_t server, std::size_t id)
    {
        const std::size_t closed =
            std::erase_if(idle(gateway, server), [id](const Idle &one) { return one.id == id; });
        m_open[server] -= closed;
        m_idleCount[server] -= closed;
    }

    const Settings m_settings;
    const KeepHook m_keep;
    RandomSource m_random;
    const TimePoint m_start {std::chrono::hours(1)};
    std::multimap<TimePoint, Event> m_events;
    std::function<void(TimePoint)> m_changeHook;
    bool m_hasChanged = false;
    std::vector<std::size_t> m_open;       ///< by server
    std::vector<std::size_t> m_idleCount;  ///< by server
    std::vector<std::vector<Idle>> m_idle; ///< by gateway and server
    std::size_t m_nextId = 0;
    Counts m_counts;
};

} // namespace foxtailring
