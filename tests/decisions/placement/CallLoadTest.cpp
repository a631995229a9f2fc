#include "foxtailring/decisions/placement/BackendPlacer.h"

#include "sessions/ForwardFixture.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>

using namespace foxtailring;

/// \brief Plays calls of many processes at six servers of six slots on shared machines, 15% of
/// which take 2.5 times as long for 0.6 s at a time.
class CallLoad
{
public:
    CallLoad(std::size_t processCount, double load, bool tellsPace)
        : m_tellsPace(tellsPace)
        , m_meanInterval(workMs / (load * serverCount * slots))
    {
        for (std::size_t i = 0; i < processCount; ++i)
            m_processes.push_back(std::make_unique<Process>(i, m_clock));
    }

    /// \brief Times from the call to its answer, in ms, sorted.
    std::vector<double> play(std::size_t callCount)
    {
        while (m_times.size() < callCount) {
            if (m_events.empty() || m_nextCall < m_events.top().at)
                call();
            else
                runEvent();
        }
        std::ranges::sort(m_times);
        return m_times;
    }

private:
    static constexpr double workMs = 30;
    static constexpr double paceMs = 600;
    static constexpr double slowShare = 0.15;
    static constexpr double slowFactor = 2.5;
    static constexpr std::size_t serverCount = 6;
    static constexpr std::uint32_t slots = 6;

    struct Process
    {
        Process(std::size_t index, TimePoint now)
            : zone(1, static_cast<char>('a' + index % serverCount))
            , random(index + 1)
        {
            for (char name = 'a'; name < static_cast<char>('a' + serverCount); ++name)
                table.put(server(name), now);
        }

        static BackendInfo server(char name)
        {
            BackendInfo info;
            info.id = info.availabilityZone = std::string(1, name);
            info.service = "shop";
            info.address = "10.0.0.1:80" + info.id;
            info.slots = slots;
            return info;
        }

        std::string zone;
        RandomSource random;
        BackendTable table;
        BackendPlacer placer {
            table,
            zone,
            {{"a", "r"}, {"b", "r"}, {"c", "s"}, {"d", "s"}, {"e", "t"}, {"f", "t"}},
            {}};
    };
    struct Call
    {
        std::size_t process;
        std::size_t server;
        double arrivedAt;
    };
    struct Event
    {
        double at;
        Call call;
        bool operator<(const Event &other) const { return at > other.at; }
    };
    struct Server
    {
        std::uint32_t running = 0;
        std::deque<Call> queue;
    };

    TimePoint timeAt(double ms) const
    {
        return m_clock + std::chrono::microseconds(std::llround(ms * 1000));
    }

    double exponential(double mean) { return -mean * std::log(1 - m_random.generateDouble()); }

    double paceOf(std::size_t server, double at)
    {
        const auto period = static_cast<std::size_t>(at / paceMs);
        RandomSource random(period * serverCount + server + 1000);
        return random.generateDouble() < slowShare ? slowFactor : 1;
    }

    void call()
    {
        const double at = m_nextCall;
        m_nextCall += exponential(m_meanInterval);
        const std::size_t process = m_random.bounded(m_processes.size());
        Process &one = *m_processes[process];
        PlacementRequest request;
        request.service = "shop";
        const auto chosen = one.placer.chooseForCall(request, timeAt(at), one.random);
        one.table.startWork(chosen->info.id);
        const auto server = static_cast<std::size_t>(chosen->info.id.front() - 'a');
        const Call placed {process, server, at};
        if (m_servers[server].running < slots)
            begin(placed, at);
        else
            m_servers[server].queue.push_back(placed);
    }

    void begin(const Call &placed, double at)
    {
        ++m_servers[placed.server].running;
        const double work = workMs * (0.5 + m_random.generateDouble()) * paceOf(placed.server, at);
        m_events.push({at + work, placed});
    }

    void runEvent()
    {
        const auto [at, ended] = m_events.top();
        m_events.pop();
        Server &server = m_servers[ended.server];
        --server.running;
        if (!server.queue.empty()) {
            const Call next = server.queue.front();
            server.queue.pop_front();
            begin(next, at);
        }
        answer(ended, at);
    }

    void answer(const Call &ended, double at)
    {
        const Server &server = m_servers[ended.server];
        Process &one = *m_processes[ended.process];
        const std::string id(1, static_cast<char>('a' + ended.server));
        LoadFigures figures {server.running, static_cast<std::uint32_t>(server.queue.size()), slots,
                             std::nullopt, 0};
        if (m_tellsPace)
            figures.relativeDuration = paceOf(ended.server, at);
        one.table.endWork(id);
        one.table.recordFigures(id, figures, timeAt(at));
        m_times.push_back(at - ended.arrivedAt);
    }

    const bool m_tellsPace;
    const double m_meanInterval;
    const TimePoint m_clock {std::chrono::hours(1)};
    RandomSource m_random {11};
    std::vector<std::unique_ptr<Process>> m_processes;
    std::array<Server, serverCount> m_servers;
    std::priority_queue<Event> m_events;
    std::vector<double> m_times;
    double m_nextCall = 0;
};

class CallLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallLoadTest);
    CPPUNIT_TEST(slowestAnswersAreFasterWithPace);
    CPPUNIT_TEST(idleServersAreUsedAsBefore);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against calls that wait at a slow machine while others have free slots, and against
    // many processes that all choose the server which looked idle.
    void slowestAnswersAreFasterWithPace()
    {
        for (const std::size_t processes : {12, 33, 350}) {
            for (const double load : {0.6, 0.8}) {
                const auto told = CallLoad(processes, load, true).play(callCount);
                const auto untold = CallLoad(processes, load, false).play(callCount);
                const std::string what =
                    std::to_string(processes) + " processes, load " + std::to_string(load);
                CPPUNIT_ASSERT_MESSAGE(what, told[p99] < 0.75 * untold[p99]);
                CPPUNIT_ASSERT_MESSAGE(what, told[p50] < 1.1 * untold[p50]);
            }
        }
    }

    // A quiet service is served as well as before.
    void idleServersAreUsedAsBefore()
    {
        for (const std::size_t processes : {12, 33, 350}) {
            const auto told = CallLoad(processes, 0.25, true).play(callCount);
            const auto untold = CallLoad(processes, 0.25, false).play(callCount);
            CPPUNIT_ASSERT(told[p99] < 1.02 * untold[p99]);
            CPPUNIT_ASSERT(told[p50] < 1.02 * untold[p50]);
        }
    }

private:
    static constexpr std::size_t callCount = 20'000;
    static constexpr std::size_t p50 = callCount / 2;
    static constexpr std::size_t p99 = callCount * 99 / 100;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallLoadTest);
