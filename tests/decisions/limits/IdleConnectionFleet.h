#pragma once

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/limits/IdleConnectionDemand.h"
#include "foxtailring/decisions/limits/IdleConnectionLimit.h"
#include "foxtailring/decisions/limits/IdleConnectionShare.h"
#include "foxtailring/decisions/membership/FleetMembership.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtailring {

/// \brief Gateways that divide idle connections by the demands that they list in a store. Each of
/// them learns late what is written there. Time advances with the connections that become idle.
class IdleConnectionFleet
{
public:
    using Ms = std::chrono::milliseconds;

    /// What differs from a store that always answers. Times count from the start.
    struct Faults
    {
        std::size_t oldGateways = 0; ///< the first ones list an empty value and divide evenly
        double lostWrites = 0;       ///< fraction that has no effect
        double unreadable = 0;       ///< fraction of the values
        Ms storeDownFrom {0};        ///< no writes and no polls from then on
        Ms storeDownUntil {0};
        std::size_t cutOff = 0; ///< for the first ones only; 0: for all
    };

    struct Counts
    {
        double mostShares = 0; ///< largest sum of all shares
        std::size_t writes = 0;
        std::size_t mostWrites = 0; ///< in one second
    };

    /// All gateways start with a list of all, without demands.
    IdleConnectionFleet(std::size_t gateways, std::uint64_t seed, const Faults &faults)
        : m_faults(faults)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < gateways; ++i)
            m_log.push_back({std::to_string(i), true, std::nullopt});
        for (std::size_t i = 0; i < gateways; ++i)
            add(m_start);
    }

    Ms keepFor(std::size_t gateway, std::size_t server, std::size_t idleCount, TimePoint now)
    {
        advance(now);
        Gateway &one = *m_gateways[gateway];
        one.demand.record(now);
        return one.limit.keepFor(std::to_string(server), idleCount, now);
    }

    const Counts &counts() const { return m_counts; }

    /// \brief All gateways begin anew. Their keys are still listed, with what was told last.
    void restart(TimePoint now)
    {
        const std::size_t count = m_gateways.size();
        m_gateways.clear();
        while (m_gateways.size() < count)
            add(now);
    }

    /// \brief Gateways start that are not listed yet.
    void grow(std::size_t count, TimePoint now)
    {
        for (std::size_t i = 0; i < count; ++i) {
            Gateway &one = add(now);
            one.enlistAt = now + Ms(m_random.bounded(3000));
        }
    }

private:
    struct Entry
    {
        std::string id;
        bool isListed = false;
        std::optional<int> demand;
    };

    struct Gateway
    {
        Gateway(std::size_t index, double phase)
            : index(index)
            , id(std::to_string(index))
            , fleet(id)
            , demand(phase)
        {
        }

        const std::size_t index;
        const std::string id;
        FleetMembership fleet;
        IdleConnectionLimit limit {fleetLimit, Ms(8000)};
        IdleConnectionShare share {{fleetLimit, maxListDelay}};
        IdleConnectionDemand demand;
        std::optional<int> listed; ///< what it wrote last
        TimePoint confirmedAt {};
        TimePoint pollAt {};
        std::optional<TimePoint> enlistAt;
        std::size_t read = 0; ///< entries of the log that it knows
    };

    static constexpr double fleetLimit = 48;
    static constexpr Ms maxListDelay {2500};
    static constexpr Ms maxPollInterval {2000};
    static constexpr Ms stepInterval {250};
    static constexpr Ms leaseDuration {15'000};

    Gateway &add(TimePoint now)
    {
        m_gateways.push_back(
            std::make_unique<Gateway>(m_gateways.size(), m_random.generateDouble()));
        Gateway &one = *m_gateways.back();
        readAll(one, now);
        update(one, now);
        return one;
    }

    void advance(TimePoint now)
    {
        for (; m_steppedAt + stepInterval <= now; m_steppedAt += stepInterval)
            step(m_steppedAt + stepInterval);
    }

    bool hasStore(const Gateway &one, TimePoint now) const
    {
        const bool isDown =
            now >= m_start + m_faults.storeDownFrom && now < m_start + m_faults.storeDownUntil;
        return !isDown || (m_faults.cutOff > 0 && one.index >= m_faults.cutOff);
    }

    bool isOld(const Gateway &one) const { return one.index < m_faults.oldGateways; }

    void step(TimePoint now)
    {
        double shares = 0;
        for (const auto &one : m_gateways) {
            endLease(*one, now);
            one->fleet.expire(now);
            if (hasStore(*one, now)) {
                publish(*one, now);
                poll(*one, now);
            }
            update(*one, now);
            shares += isOld(*one) ? fleetLimit / static_cast<double>(one->fleet.size())
                                  : one->share.inForce();
        }
        m_counts.mostShares = std::max(m_counts.mostShares, shares);
        countWrites(now);
    }

    // A gateway that is cut off lists itself again after it reaches the store.
    void endLease(Gateway &one, TimePoint now)
    {
        if (hasStore(one, now) || one.enlistAt
            || now < m_start + m_faults.storeDownFrom + leaseDuration)
            return;
        one.enlistAt = m_start + m_faults.storeDownUntil + Ms(m_random.bounded(4000));
        m_log.push_back({one.id, false, std::nullopt});
    }

    void publish(Gateway &one, TimePoint now)
    {
        const auto due = isOld(one)
            ? std::nullopt
            : one.demand.takeDue(one.fleet.ownDemand(), one.fleet.size(), now);
        const bool isEnlisting = one.enlistAt && now >= *one.enlistAt;
        if (!due && !isEnlisting)
            return;
        if (due)
            one.listed = due;
        one.enlistAt.reset();
        ++m_counts.writes;
        if (!isEnlisting && m_random.generateDouble() < m_faults.lostWrites)
            return;
        const bool isReadable = m_random.generateDouble() >= m_faults.unreadable;
        m_log.push_back({one.id, true, isReadable ? one.listed : std::nullopt});
    }

    void poll(Gateway &one, TimePoint now)
    {
        if (now < one.pollAt)
            return;
        one.confirmedAt = now;
        one.pollAt = now + Ms(m_random.bounded(maxPollInterval.count()));
        while (one.read < m_log.size()) {
            readNext(one, now);
            update(one, now);
        }
    }

    void readAll(Gateway &one, TimePoint now)
    {
        one.fleet.replace({}, now);
        one.confirmedAt = now;
        while (one.read < m_log.size())
            readNext(one, now);
    }

    void readNext(Gateway &one, TimePoint now)
    {
        const Entry &entry = m_log[one.read++];
        if (!entry.isListed)
            return one.fleet.remove(entry.id, now);
        one.fleet.put(entry.id);
        one.fleet.setDemand(entry.id, entry.demand);
    }

    void update(Gateway &one, TimePoint now) const
    {
        if (isOld(one))
            return one.limit.setProcessCount(one.fleet.size());
        one.share.update(one.fleet, now - one.confirmedAt, now);
        one.limit.setShare(one.share.inForce());
    }

    void countWrites(TimePoint now)
    {
        if (now - m_secondBegan < Ms(1000))
            return;
        m_counts.mostWrites = std::max(m_counts.mostWrites, m_counts.writes - m_writesBefore);
        m_writesBefore = m_counts.writes;
        m_secondBegan = now;
    }

    const Faults m_faults;
    RandomSource m_random;
    const TimePoint m_start {std::chrono::hours(1)};
    TimePoint m_steppedAt = m_start;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<Entry> m_log; ///< what was written into the store, in order
    Counts m_counts;
    std::size_t m_writesBefore = 0;
    TimePoint m_secondBegan = m_start;
};

} // namespace foxtailring
