#pragma once

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/membership/FleetBudget.h"
#include "foxtailring/decisions/servers/BackendInfo.h"
#include "foxtailring/decisions/servers/EngineSpeeds.h"
#include "foxtailring/decisions/servers/SpeedPublication.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace foxtailring {

/// \brief Gateways that place runs at random on engines of three speeds and report them in a store,
/// which each of them reads a while later.
class SpeedFleet
{
public:
    using Ms = std::chrono::milliseconds;

    struct Load
    {
        std::size_t gateways = 28;
        std::size_t engines = 102;
        double runsPerSecond = 27;
    };
    struct Counts
    {
        std::size_t writes = 0;
        std::size_t mostWrites = 0; ///< in one second
        std::size_t bytes = 0;      ///< at each reader
        std::size_t mostBytes = 0;  ///< in ten seconds
    };

    SpeedFleet(const Load &load, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < load.engines; ++i)
            m_intervals.push_back(intervals[m_random.bounded(std::size(intervals))]);
        m_isObserved.resize(load.engines);
        for (std::size_t i = 0; i < load.gateways; ++i)
            m_gateways.push_back(std::make_unique<Gateway>(load, i, seed + i));
    }

    /// \brief Writes of gateways for which this is true have no effect, although they are sent.
    void loseWrites(std::function<bool(std::size_t gateway)> isLost)
    {
        m_isLost = std::move(isLost);
    }
    void setInterval(std::size_t engine, Ms interval) { m_intervals[engine] = interval; }
    void run(Ms time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += stepTime)
            step();
    }
    /// \brief The gateway's report disappears for all others.
    void end(std::size_t gateway)
    {
        for (auto &reader : m_gateways)
            reader->speeds.forgetReporter(std::to_string(gateway));
        m_gateways[gateway]->isUp = false;
    }

    EngineSpeeds &speeds(std::size_t gateway) { return m_gateways[gateway]->speeds; }
    SpeedPublication &publication(std::size_t gateway) { return m_gateways[gateway]->publication; }
    const Counts &counts() const { return m_counts; }
    Ms time() const { return std::chrono::duration_cast<Ms>(m_now - TimePoint {}); }
    /// \brief Engines that got work and that are known at this gateway, as a fraction.
    double knownPart(std::size_t gateway) const
    {
        std::size_t observed = 0;
        std::size_t known = 0;
        for (std::size_t i = 0; i < m_load.engines; ++i) {
            observed += m_isObserved[i] ? 1 : 0;
            known += m_gateways[gateway]->speeds.merged(service, address(i)).runs > 0 ? 1 : 0;
        }
        return static_cast<double>(known) / static_cast<double>(observed);
    }
    /// \brief Smallest part at any of every \a step gateways that are up.
    double leastKnownPart(std::size_t step) const
    {
        double part = 1;
        for (std::size_t i = 0; i < m_gateways.size(); i += step) {
            if (m_gateways[i]->isUp)
                part = std::min(part, knownPart(i));
        }
        return part;
    }
    static std::string address(std::size_t engine)
    {
        return "10." + std::to_string(engine / 65536) + '.' + std::to_string(engine / 256 % 256)
            + '.' + std::to_string(engine % 256) + ":8000";
    }

    static constexpr const char *service = "chat";
    static constexpr Ms intervals[] {Ms(35), Ms(60), Ms(100)};

private:
    struct Gateway
    {
        Gateway(const Load &load, std::size_t index, std::uint64_t seed)
            : random(seed)
            , budget(8000,
                     static_cast<double>(index * 37 % load.gateways)
                         / static_cast<double>(load.gateways))
        {
            budget.setProcessCount(load.gateways);
        }

        RandomSource random;
        EngineSpeeds speeds;
        FleetBudget budget;
        SpeedPublication publication {random};
        bool isUp = true;
    };
    struct Run
    {
        std::size_t gateway = 0;
        std::size_t engine = 0;
        Ms interval {0};
    };
    struct Write
    {
        std::size_t gateway = 0;
        SpeedReport report;
    };

    using Seconds = std::chrono::duration<double>;

    static constexpr Ms stepTime {250};
    static constexpr Ms readDelay {500};
    static constexpr int eventsOfRun = 100;

    void step()
    {
        startRuns();
        const auto ended = m_runs.upper_bound(m_now);
        for (auto run = m_runs.begin(); run != ended; run = m_runs.erase(run))
            endRun(run->second);
        for (std::size_t i = 0; i < m_gateways.size(); ++i)
            publish(i);
        const auto readable = m_writes.upper_bound(m_now);
        for (auto write = m_writes.begin(); write != readable; write = m_writes.erase(write))
            deliver(write->second);
        countSecond();
    }
    void startRuns()
    {
        for (m_arrivals += m_load.runsPerSecond * Seconds(stepTime).count(); m_arrivals >= 1;
             m_arrivals -= 1) {
            const std::size_t engine = m_random.bounded(m_load.engines);
            // Runs at one engine differ by a tenth.
            const double noise = 0.9 + 0.2 * m_random.generateDouble();
            const Ms interval(
                static_cast<int>(static_cast<double>(m_intervals[engine].count()) * noise));
            m_runs.emplace(m_now + eventsOfRun * interval,
                           Run {m_random.bounded(m_load.gateways), engine, interval});
        }
    }
    void endRun(const Run &run)
    {
        if (!m_gateways[run.gateway]->isUp)
            return;
        BackendInfo server;
        server.service = service;
        server.address = address(run.engine);
        m_gateways[run.gateway]->speeds.recordRun(server, run.interval);
        m_isObserved[run.engine] = true;
    }
    void publish(std::size_t index)
    {
        Gateway &gateway = *m_gateways[index];
        if (!gateway.isUp)
            return;
        auto report = gateway.publication.takeDueReport(gateway.speeds, gateway.budget, m_now);
        if (!report)
            return;
        gateway.budget.recordWrite(wireBytes(*report), m_now);
        ++m_writesOfSecond;
        ++m_counts.writes;
        if (m_isLost && m_isLost(index))
            gateway.publication.onNotPublished();
        else
            m_writes.emplace(m_now + readDelay, Write {index, std::move(*report)});
    }
    void deliver(const Write &write)
    {
        const std::size_t bytes = wireBytes(write.report);
        m_counts.bytes += bytes;
        m_bytesOfPeriod += bytes;
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            m_gateways[i]->budget.recordRead(bytes, m_now);
            if (i != write.gateway)
                m_gateways[i]->speeds.recordReport(std::to_string(write.gateway),
                                                   write.report.readings);
        }
    }
    void countSecond()
    {
        if (time().count() % 1000 == 0) {
            m_counts.mostWrites = std::max(m_counts.mostWrites, m_writesOfSecond);
            m_writesOfSecond = 0;
        }
        if (time().count() % 10'000 == 0) {
            m_counts.mostBytes = std::max(m_counts.mostBytes, m_bytesOfPeriod);
            m_bytesOfPeriod = 0;
        }
    }
    // An entry is its address with [100000,1] and quotes.
    static std::size_t wireBytes(const SpeedReport &report)
    {
        std::size_t bytes = 10;
        for (const SpeedReading &reading : report.readings)
            bytes += reading.address.size() + 14;
        return FleetBudget::wireBytes(bytes);
    }

    const Load m_load;
    RandomSource m_random;
    std::vector<Ms> m_intervals;    ///< between events of a run, by engine
    std::vector<bool> m_isObserved; ///< by engine
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::function<bool(std::size_t)> m_isLost;
    std::multimap<TimePoint, Run> m_runs;     ///< by end
    std::multimap<TimePoint, Write> m_writes; ///< by the time when all read it
    TimePoint m_now;
    double m_arrivals = 0;
    std::size_t m_writesOfSecond = 0;
    std::size_t m_bytesOfPeriod = 0;
    Counts m_counts;
};

} // namespace foxtailring
