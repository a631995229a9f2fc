#pragma once

#include "foxtailring/decisions/sessions/CallSession.h"

#include "sessions/ForwardFixture.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace foxtailring {

/// \brief Processes that send calls to six servers, which turn every request away for a while and
/// ask for a pause. There is no network: each request takes a drawn time to reach its server, and
/// one in four a whole connect timeout.
class PauseSimulation
{
public:
    using Ms = std::chrono::milliseconds;

    static constexpr Ms connectTimeout {250};
    static constexpr Ms answerDelay {20};
    static constexpr Ms notice {500};

    PauseSimulation(std::size_t processCount, Ms pause, Ms turnsAwayFor)
        : m_pause(pause)
        , m_turnsAwayUntil(m_start + turnsAwayFor)
        , m_processes(processCount)
    {
        for (std::size_t i = 0; i < processCount; ++i) {
            m_processes[i].random = RandomSource(i);
            m_processes[i].listServers();
        }
    }

    /// \brief Sends a call from each process in intervals of its own.
    void run(Ms minInterval, Ms maxInterval, Ms duration)
    {
        for (Process &process : m_processes) {
            const Ms interval = drawn(minInterval, maxInterval);
            for (TimePoint at = m_start + drawn(Ms(0), interval); at < m_start + duration;
                 at += interval)
                m_events.emplace(at, [this, &process](TimePoint now) { startCall(process, now); });
        }
        while (!m_events.empty()) {
            const auto event = m_events.extract(m_events.begin());
            event.mapped()(event.key());
        }
    }

    /// \brief The most requests that a server got from a process within one of its pauses,
    /// beginning \a notice after its answer.
    std::size_t mostInPause() const
    {
        std::size_t most = 0;
        for (const Process &process : m_processes) {
            for (const auto &[server, answers] : process.turnedAway) {
                const std::vector<TimePoint> &arrivals = process.arrivals.at(server);
                for (const TimePoint at : answers) {
                    most = std::max<std::size_t>(
                        most, std::count_if(arrivals.begin(), arrivals.end(), [&](TimePoint one) {
                            return one > at + notice && one < at + m_pause;
                        }));
                }
            }
        }
        return most;
    }

    /// \brief The most requests that a server got from all processes in any \a window from \a from
    /// on, since the start.
    std::size_t mostInWindow(Ms window, Ms from) const
    {
        std::map<std::string, std::vector<TimePoint>> byServer;
        for (const Process &process : m_processes) {
            for (const auto &[server, arrivals] : process.arrivals)
                byServer[server].insert(byServer[server].end(), arrivals.begin(), arrivals.end());
        }
        std::size_t most = 0;
        for (auto &[server, arrivals] : byServer) {
            std::sort(arrivals.begin(), arrivals.end());
            for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), m_start + from);
                 first != arrivals.end(); ++first) {
                const auto end = std::upper_bound(first, arrivals.end(), *first + window);
                most = std::max(most, static_cast<std::size_t>(end - first));
            }
        }
        return most;
    }

    std::size_t turnedAwayCount() const { return m_turnedAwayCount; }
    std::size_t servedCount() const { return m_servedCount; }
    std::size_t refusedCount() const { return m_refusedCount; }

private:
    struct Process : ForwardFixture
    {
        using ForwardFixture::answer;
        using ForwardFixture::context;
        using ForwardFixture::listServers;
        using ForwardFixture::random;
        using ForwardFixture::request;
        using ForwardFixture::route;

        std::map<std::string, std::vector<TimePoint>> arrivals;   ///< by server
        std::map<std::string, std::vector<TimePoint>> turnedAway; ///< by server
    };
    using Session = std::shared_ptr<CallSession>;

    Ms drawn(Ms from, Ms to) { return from + Ms(m_delays.bounded((to - from).count() + 1)); }

    void startCall(Process &process, TimePoint now)
    {
        ForwardRequest request = process.request();
        request.arrivedAt = now;
        const auto session = std::make_shared<CallSession>(m_route, request, process.context());
        perform(process, session, session->start(now), now);
    }

    void perform(Process &process, const Session &session, const ForwardAction &action,
                 TimePoint now)
    {
        m_refusedCount += std::holds_alternative<Refuse>(action) ? 1 : 0;
        const auto *attempt = std::get_if<SendAttempt>(&action);
        if (!attempt)
            return;
        const std::string server = attempt->server.info.id;
        const Ms delay = m_delays.bounded(4) == 0 ? connectTimeout : drawn(Ms(1), Ms(60));
        m_events.emplace(now + delay, [this, &process, session, server](TimePoint at) {
            reach(process, session, server, at);
        });
    }

    void reach(Process &process, const Session &session, const std::string &server, TimePoint at)
    {
        process.arrivals[server].push_back(at);
        const bool isTurnedAway = at < m_turnsAwayUntil;
        ++(isTurnedAway ? m_turnedAwayCount : m_servedCount);
        BackendAnswer answer = Process::answer(isTurnedAway ? 503 : 200);
        if (isTurnedAway) {
            process.turnedAway[server].push_back(at);
            answer.isSigned = false;
            answer.isNotRun = true;
            answer.namesPause = true;
            answer.pause = m_pause;
        }
        m_events.emplace(at + answerDelay, [this, &process, session, answer](TimePoint now) {
            session->onHead(answer, now);
            perform(process, session, session->onAnswer(answer, now), now);
        });
    }

    const TimePoint m_start {std::chrono::hours(1)};
    const Ms m_pause;
    const TimePoint m_turnsAwayUntil;
    const HttpRoute m_route = Process::route(CallKind::NonIdempotent);
    std::deque<Process> m_processes;
    RandomSource m_delays {11};
    std::multimap<TimePoint, std::function<void(TimePoint)>> m_events;
    std::size_t m_turnedAwayCount = 0;
    std::size_t m_servedCount = 0;
    std::size_t m_refusedCount = 0;
};

} // namespace foxtailring
