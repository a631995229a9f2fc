#pragma once

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/limits/RateLimitTable.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace foxtailring {

/// \brief Processes that send requests to servers with rate limits, on a clock driven by the test.
///
/// Reports travel through a store: a write takes effect after up to 100 ms, and each process sees
/// it up to its report delay later. As in the users' rule, requests of a process do not count while
/// it is cut off, and for 3 s after that, after a freeze and after a restart.
class RateLimitSimulation
{
public:
    using Ms = std::chrono::milliseconds;

    struct Settings
    {
        std::size_t processes = 12;
        std::size_t servers = 1;
        double requestsPerSecond = 67;
        /// Fraction of the requests that go to the first two processes; the others share the rest.
        double unevenShare = 0;
        std::uint64_t seed = 1;
        /// The users' rule counts requests of processes that a server has told its limit. Without a
        /// store the others cannot know of it; with one, all requests are counted.
        bool countsUntold = true;
    };

    explicit RateLimitSimulation(Settings settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_arrivals(settings.servers)
    {
        for (std::size_t i = 0; i < settings.processes; ++i) {
            m_processes.emplace_back();
            restart(i);
            m_processes[i].excusedUntil = m_now;
        }
    }

    /// \brief The limit that a server names at a time; none: it names no limit.
    std::function<std::optional<double>(std::size_t server, TimePoint now)> limit;

    TimePoint now() const { return m_now; }
    static TimePoint at(double seconds) { return epoch() + Ms(static_cast<int>(seconds * 1000)); }

    void runUntil(TimePoint end)
    {
        while (m_now < end) {
            m_now += step;
            runDueEvents();
            generateRequests();
            pollStore();
            const auto tick = static_cast<std::size_t>((m_now - epoch()) / step);
            for (std::size_t i = tick % publishSteps; i < m_processes.size(); i += publishSteps)
                publishDueReport(i);
        }
    }

    /// \brief The store neither takes reports nor shows changes until it is set up again. This
    /// excuses no process.
    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }

    /// \brief The process forgets everything; its report stays in the store.
    void restart(std::size_t index)
    {
        Process &process = m_processes[index];
        process.excusedUntil = m_now + excusedTime;
        ++process.incarnation;
        process.unseen.clear();
        process.toldAt.clear();
        process.table =
            std::make_unique<RateLimitTable>(RateLimitTable::Settings {nameOf(index), reportDelay});
        process.table->setProcessCount(m_settings.processes);
        process.table->replaceReports(storedReports(), m_now);
        process.table->recordConfirmation(m_now);
    }

    /// \brief The process sends nothing and sees nothing until resume().
    void freeze(std::size_t index) { m_processes[index].isFrozen = true; }
    /// \brief The process neither writes to the store nor sees its changes until resume().
    void cutFromStore(std::size_t index)
    {
        m_processes[index].isCut = true;
        m_processes[index].excusedUntil = TimePoint::max();
    }
    void resume(std::size_t index)
    {
        Process &process = m_processes[index];
        process.isFrozen = false;
        process.isCut = false;
        process.excusedUntil = m_now + excusedTime;
        process.unseen.clear();
        process.table->replaceReports(storedReports(), m_now);
    }
    /// \brief The lease of the process's report has ended.
    void expireReport(std::size_t index)
    {
        m_stored.erase(nameOf(index));
        announce({nameOf(index), std::nullopt});
    }

    /// \brief Most requests that the server got in 4 s, from \a from on.
    std::size_t mostInWindow(std::size_t server, TimePoint from, TimePoint to) const
    {
        const std::deque<TimePoint> &times = m_arrivals[server];
        std::size_t most = 0;
        for (auto first = std::lower_bound(times.begin(), times.end(), from);
             first != times.end() && *first <= to; ++first) {
            const auto end = std::upper_bound(first, times.end(), *first + std::chrono::seconds(4));
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    double perSecond(std::size_t server, TimePoint from, TimePoint to) const
    {
        const std::deque<TimePoint> &times = m_arrivals[server];
        const auto count = std::lower_bound(times.begin(), times.end(), to)
            - std::lower_bound(times.begin(), times.end(), from);
        return static_cast<double>(count) / std::chrono::duration<double>(to - from).count();
    }

    std::size_t limitedProcesses() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_processes.begin(), m_processes.end(),
                          [](const Process &one) { return one.table->isLimited("s0"); }));
    }

    std::size_t size() const { return m_processes.size(); }
    std::size_t reportsWritten() const { return m_reportsWritten; }

private:
    struct Process
    {
        std::unique_ptr<RateLimitTable> table;
        std::uint64_t incarnation = 0;
        TimePoint excusedUntil;
        TimePoint nextPollAt;
        std::vector<RateLimitReportChange> unseen; ///< changes in the store, in order
        std::map<std::size_t, TimePoint> toldAt;   ///< first answer with a limit, by server
        bool isFrozen = false;
        bool isCut = false;
    };

    static constexpr Ms step {10};
    static constexpr std::size_t publishSteps = 25; ///< between two looks at a process's report
    static constexpr Ms reportDelay {2000};
    static constexpr Ms excusedTime {3000};
    static constexpr Ms pollJitter {900};
    static constexpr Ms maxWriteDelay {100};
    static constexpr Ms answerTime {40};
    static constexpr Ms toldNotice {500};

    static TimePoint epoch() { return TimePoint(std::chrono::hours(1)); }
    static std::string nameOf(std::size_t index) { return "g" + std::to_string(index); }

    void later(Duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    void runDueEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
    }

    void generateRequests()
    {
        m_due += m_settings.requestsPerSecond * std::chrono::duration<double>(step).count();
        // Arrivals are as irregular as those of independent callers.
        while (m_due > 0) {
            m_due -= 2 * m_random.generateDouble();
            sendRequest();
        }
    }

    std::size_t chooseProcess()
    {
        const bool isToBusy = m_random.generateDouble() < m_settings.unevenShare;
        const std::size_t count = m_processes.size();
        return m_random.bounded(isToBusy ? std::min<std::size_t>(count, 2) : count);
    }

    void sendRequest()
    {
        const std::size_t index = chooseProcess();
        Process &process = m_processes[index];
        if (process.isFrozen)
            return;
        const std::size_t first = m_random.bounded(m_settings.servers);
        for (std::size_t i = 0; i < m_settings.servers; ++i) {
            const std::size_t server = (first + i) % m_settings.servers;
            const std::string id = "s" + std::to_string(server);
            if (process.table->tryAcquire(id, m_now))
                return deliver(index, server);
        }
    }

    void deliver(std::size_t index, std::size_t server)
    {
        if (m_processes[index].excusedUntil <= m_now && isCounted(m_processes[index], server))
            m_arrivals[server].push_back(m_now);
        BackendAnswer answer;
        answer.status = 200;
        answer.isSigned = true;
        answer.rateLimit = limit(server, m_now);
        answer.namesRateLimit = answer.rateLimit.has_value();
        const std::uint64_t incarnation = m_processes[index].incarnation;
        later(answerTime, [this, index, incarnation, server, answer, sentAt = m_now] {
            Process &process = m_processes[index];
            if (process.incarnation != incarnation)
                return;
            if (answer.rateLimit)
                process.toldAt.emplace(server, m_now);
            process.table->recordAnswer("s" + std::to_string(server), answer, sentAt, m_now);
        });
    }

    bool isCounted(const Process &process, std::size_t server) const
    {
        const auto told = process.toldAt.find(server);
        return m_settings.countsUntold
            || (told != process.toldAt.end() && m_now - told->second >= toldNotice);
    }

    void publishDueReport(std::size_t index)
    {
        Process &process = m_processes[index];
        if (process.isFrozen || process.isCut)
            return;
        process.table->expire(m_now);
        if (m_isStoreDown)
            return;
        auto report = process.table->takeDueReport(m_now);
        if (!report)
            return;
        ++m_reportsWritten;
        later(Ms(m_random.bounded(maxWriteDelay.count())),
              [this, index, report = *report] { store(index, report); });
    }

    void store(std::size_t index, const RateLimitReport &report)
    {
        m_stored[nameOf(index)] = report;
        announce({nameOf(index), report});
    }

    // Each process sees the change at its own next poll.
    void announce(const RateLimitReportChange &change)
    {
        for (Process &process : m_processes)
            process.unseen.push_back(change);
    }

    std::vector<RateLimitReportChange> storedReports() const
    {
        std::vector<RateLimitReportChange> reports;
        for (const auto &[name, report] : m_stored)
            reports.push_back({name, report});
        return reports;
    }

    void pollStore()
    {
        if (m_isStoreDown)
            return;
        for (Process &process : m_processes) {
            if (process.isFrozen || process.isCut || process.nextPollAt > m_now)
                continue;
            process.nextPollAt = m_now + reportDelay / 2 + Ms(m_random.bounded(pollJitter.count()));
            process.table->recordConfirmation(m_now);
            process.table->applyReports(std::exchange(process.unseen, {}), m_now);
        }
    }

    const Settings m_settings;
    RandomSource m_random;
    TimePoint m_now = epoch();
    double m_due = 0;
    std::deque<Process> m_processes;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, RateLimitReport> m_stored;
    std::vector<std::deque<TimePoint>> m_arrivals; ///< by server
    std::size_t m_reportsWritten = 0;
    bool m_isStoreDown = false;
};

} // namespace foxtailring
