#include "foxtailring/decisions/admission/RunAdmission.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/admission/RunClaim.h"
#include "foxtailring/decisions/servers/BackendState.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t engineCount = 80;
constexpr std::uint64_t runTokens = 9'000;
constexpr Duration step = 10ms;
constexpr Duration promptTime = 1200ms;
constexpr Duration objective = 10s;
constexpr std::size_t reportLagSteps = 20;

/// \brief Reads one prompt after the other, keeps the runs for some seconds, and reports late.
class Engine
{
public:
    Engine() { state.info.slots = 12; }

    void advance(TimePoint now)
    {
        std::erase_if(m_runEnds, [now](TimePoint end) { return end <= now; });
        if (m_waiting > 0 && now >= m_promptEnd) {
            --m_waiting;
            m_promptEnd = now + promptTime;
            m_runEnds.push_back(m_promptEnd + 8s);
        }
        mostWaiting = std::max(mostWaiting, m_waiting);
        isOverfull = isOverfull || m_runEnds.size() * runTokens > memory;
        const auto running = static_cast<std::uint32_t>(m_runEnds.size());
        m_reports.push_back(
            {running, m_waiting, 0, now < m_promptEnd ? 1U : 0U, running * runTokens, memory});
        if (m_reports.size() > reportLagSteps)
            m_reports.pop_front();
    }
    void add() { ++m_waiting; }
    const BackendLoadReport &report() const { return m_reports.front(); }

    BackendState state;
    std::uint32_t mostWaiting = 0;
    bool isOverfull = false;

private:
    static constexpr std::uint64_t memory = 88'000;
    std::uint32_t m_waiting = 0;
    TimePoint m_promptEnd;
    std::vector<TimePoint> m_runEnds;
    std::deque<BackendLoadReport> m_reports;
};

} // namespace

// Many gateways with stale reports, each with its own part of the runs.
class RunRoomSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunRoomSimulationTest);
    CPPUNIT_TEST(burstLeavesNothingBehind);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against engines that all gateways choose at once, and against an overload that goes on
    // after its burst.
    void burstLeavesNothingBehind()
    {
        for (const std::size_t gateways : {12, 33, 350}) {
            play(gateways);
            const std::string fleet = std::to_string(gateways) + " gateways, refused "
                + std::to_string(m_refused) + ", most waiting " + std::to_string(m_mostWaiting)
                + ", overfull " + std::to_string(m_overfull);
            CPPUNIT_ASSERT_MESSAGE(fleet, m_refusedBefore == 0);
            CPPUNIT_ASSERT_MESSAGE(fleet, m_refused > 100);
            CPPUNIT_ASSERT_MESSAGE(fleet, m_refusedAfter == 0);
            CPPUNIT_ASSERT_MESSAGE(fleet, (m_mostWaiting + 1) * promptTime <= objective);
            CPPUNIT_ASSERT_MESSAGE(fleet, m_overfull <= engineCount / 20);
        }
    }

private:
    /// \brief A usual load of 0.3 runs a second and engine, and 1.2 between 5 s and 15 s.
    void play(std::size_t gateways)
    {
        RandomSource random(gateways);
        std::vector<Engine> engines(engineCount);
        for (std::size_t i = 0; i < engineCount; ++i)
            engines[i].state.info.id = "e" + std::to_string(i);
        std::vector<std::unique_ptr<RunAdmission>> admissions;
        for (std::size_t i = 0; i < gateways; ++i)
            admissions.push_back(std::make_unique<RunAdmission>(random));
        for (const auto &admission : admissions)
            admission->contention().setProcessCount(gateways);
        m_refused = m_refusedBefore = m_refusedAfter = 0;
        double due = 0;
        const TimePoint start {1h};
        for (TimePoint now = start; now < start + 25s; now += step) {
            for (Engine &engine : engines)
                engine.advance(now);
            const Duration at = now - start;
            const double perEngine = at >= 5s && at < 15s ? 1.2 : 0.3;
            for (due += perEngine * engineCount * 0.01; due >= 1; --due) {
                RunAdmission &admission = *admissions[random.bounded(gateways)];
                if (place(admission, engines, random, now))
                    continue;
                m_refused += 1;
                m_refusedBefore += at < 5s ? 1 : 0;
                m_refusedAfter += at >= 20s ? 1 : 0;
            }
        }
        m_mostWaiting = 0;
        m_overfull = 0;
        for (const Engine &engine : engines) {
            m_mostWaiting = std::max(m_mostWaiting, engine.mostWaiting);
            m_overfull += engine.isOverfull ? 1 : 0;
        }
    }

    /// \brief Sends a run to the least busy one with room of eight engines.
    static bool place(RunAdmission &admission, std::vector<Engine> &engines, RandomSource &random,
                      TimePoint now)
    {
        const RunClaim claim {"s",      "", "", std::nullopt, 8'000, 1'000, true, now + objective,
                              now + 25s};
        admission.contention().setEngineCount("s", engineCount, now);
        const bool usesRoom = admission.drawUsesRoom(claim, now);
        Engine *best = nullptr;
        for (int look = 0; look < 8; ++look) {
            Engine &engine = engines[random.bounded(engineCount)];
            admission.room().recordReport("s", engine.report());
            const auto obstacle = admission.obstacleAt(engine.state, engine.report(), claim, now);
            const bool hasRoom = obstacle == RunAdmission::Obstacle::None;
            admission.contention().recordAsked("s", hasRoom);
            if (hasRoom && (!best || engine.report().waiting < best->report().waiting))
                best = &engine;
        }
        if (best)
            admission.contention().recordFound("s", now);
        if (!best || !usesRoom)
            return false;
        best->add();
        admission.room().recordPlaced(best->state.info.id, runTokens, now);
        admission.recordTaken(claim, now);
        return true;
    }

    int m_refused = 0;
    int m_refusedBefore = 0;
    int m_refusedAfter = 0;
    std::uint32_t m_mostWaiting = 0;
    std::size_t m_overfull = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunRoomSimulationTest);
