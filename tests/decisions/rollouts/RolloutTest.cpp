#include "foxtailring/decisions/rollouts/Rollout.h"

#include "foxtailring/decisions/rollouts/AttemptObservation.h"
#include "foxtailring/decisions/rollouts/RequestVersions.h"
#include "foxtailring/decisions/rollouts/Rollouts.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>

using namespace foxtailring;
using namespace std::chrono_literals;

/// One gateway that orders, statuses and confirmations of the store reach in an unusual order.
class RolloutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutTest);
    CPPUNIT_TEST(waitingRequestIsNotForTheVersionOfALaterOrder);
    CPPUNIT_TEST(creditOfAnEarlierOrderIsNotGivenBack);
    CPPUNIT_TEST(lateReplyOfAWriteTakesNoStepBack);
    CPPUNIT_TEST(restoredCopyTakesNoStepBack);
    CPPUNIT_TEST(orderAfterAWithdrawnOneIsATrial);
    CPPUNIT_TEST(orderWrittenAgainKeepsItsShare);
    CPPUNIT_TEST(oldVersionComesFirstWithoutTheStore);
    CPPUNIT_TEST(busyOldServersAddNothingToTheShare);
    CPPUNIT_TEST(acknowledgedMoveIsKept);
    CPPUNIT_TEST(acknowledgementEndsWithTheNewServers);
    CPPUNIT_TEST(versionWithoutAlternativeIsCompleted);
    CPPUNIT_TEST(replacedVersionIsOnTrialWhenItIsOrderedAgain);
    CPPUNIT_TEST(wrongClockOfAStartedGatewayHastensNoStep);
    CPPUNIT_TEST(orderAgeIsReadFromASoundClock);
    CPPUNIT_TEST(returnOfTheStoreTakesNoStepWithoutEvidence);
    CPPUNIT_TEST(restartedGatewayKeepsItsEvidence);
    CPPUNIT_TEST(evidenceOfAnotherOrderIsNotRestored);
    CPPUNIT_TEST_SUITE_END();

    using Ms = std::chrono::milliseconds;

    RolloutSettings m_settings;
    std::vector<BackendInfo> m_servers;
    Duration m_storeAge {0};
    Ms m_unixTime {1'000'000'000};
    TimePoint m_now {1h};
    std::unique_ptr<Rollouts> m_rollouts;

    RolloutEnvironment environment()
    {
        RolloutEnvironment out;
        out.servers = [this](std::string_view, TimePoint) { return m_servers; };
        out.fleet = [](std::string_view) { return RolloutFleet {}; };
        out.storeAge = [this](TimePoint) { return m_storeAge; };
        out.unixTime = [this](TimePoint) { return m_unixTime; };
        out.random = [] { return 0.5; };
        return out;
    }

    Rollout &rollout() { return m_rollouts->of("engine"); }

    static BackendInfo server(const std::string &version, const std::string &zone)
    {
        BackendInfo out;
        out.id = version + zone;
        out.service = "engine";
        out.availabilityZone = zone;
        out.version = version;
        return out;
    }

    void list(const std::string &version)
    {
        m_servers.push_back(server(version, "a"));
        m_servers.push_back(server(version, "b"));
    }

    void unlist(std::string_view version)
    {
        std::erase_if(m_servers,
                      [version](const BackendInfo &one) { return one.version == version; });
    }

    void order(const std::string &version, std::int64_t number, bool isLive = true)
    {
        rollout().setOrder({"engine", version, 12s}, {1, number}, isLive, m_now);
    }

    static RolloutStatus statusOf(const std::string &version, double share, std::int64_t order,
                                  RolloutState state = RolloutState::Serving)
    {
        RolloutStatus out;
        out.state = state;
        out.version = version;
        out.share = share;
        out.order = {1, order};
        return out;
    }

    std::unique_ptr<RequestVersions> beginRequest()
    {
        auto request = std::make_unique<RequestVersions>(*m_rollouts);
        request->begin("engine", "route", m_now);
        return request;
    }

    void answer(const std::string &version)
    {
        std::shared_ptr<RequestVersions> request = beginRequest();
        AttemptObservation attempt(request, "route", server(version, "a"), m_now);
        attempt.recordAnswer({}, m_now + 20ms);
    }

    /// The gateway steps and its statuses are written at once.
    void run(Duration time)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += 250ms) {
            rollout().step(m_now);
            if (const auto status = rollout().takeDueStatus(m_now))
                rollout().setStatus(
                    *status,
                    {1, std::max<std::int64_t>(rollout().statusRevision().number, 100) + 1}, m_now);
        }
    }

    std::size_t newRequests(int requests)
    {
        std::size_t count = 0;
        for (int i = 0; i < requests; ++i)
            count += rollout().takeNew("route", m_now) ? 1 : 0;
        return count;
    }

    static VersionWitness failingWitness(std::int64_t order)
    {
        VersionWitness out;
        out.version = "v2";
        out.order = {1, order};
        VersionRow good;
        for (int i = 0; i < 100; ++i)
            good.times.record(20ms);
        out.rows[{"route", false, ""}] = good;
        for (const std::string zone : {"a", "b"})
            out.rows[{"route", true, zone}] = {10, {}, {}};
        return out;
    }

    static bool contains(const std::vector<VersionSide> &sides, VersionSide side)
    {
        return std::find(sides.begin(), sides.end(), side) != sides.end();
    }

public:
    void setUp() override
    {
        m_servers.clear();
        m_storeAge = Duration {0};
        list("v1");
        list("v2");
        m_settings.slackRequests = 0;
        m_rollouts = std::make_unique<Rollouts>(m_settings, environment());
    }

    // Guards against requests that waited for room and go to a version on trial without a credit.
    void waitingRequestIsNotForTheVersionOfALaterOrder()
    {
        order("v2", 10);
        rollout().setStatus(statusOf("v2", 1, 10), {1, 11}, m_now);
        const auto waiting = beginRequest();
        CPPUNIT_ASSERT(waiting->accepts(server("v2", "a")));
        list("v3");
        order("v3", 20);
        rollout().setStatus(statusOf("v3", 0.05, 20), {1, 21}, m_now);
        waiting->startChoice(m_now);
        CPPUNIT_ASSERT(!waiting->accepts(server("v3", "a")));
    }

    // Guards against a version on trial that gets the requests that another version did not.
    void creditOfAnEarlierOrderIsNotGivenBack()
    {
        order("v2", 10);
        rollout().setStatus(statusOf("v2", 1, 10, RolloutState::Completed), {1, 11}, m_now);
        std::vector<std::unique_ptr<RequestVersions>> waiting;
        waiting.reserve(100);
        for (int i = 0; i < 100; ++i)
            waiting.push_back(beginRequest());
        list("v3");
        order("v3", 20);
        rollout().setStatus(statusOf("v3", 0.05, 20), {1, 21}, m_now);
        waiting.clear();
        CPPUNIT_ASSERT(newRequests(100) <= 5);
    }

    // Guards against the reply of a write that comes behind a change that followed it.
    void lateReplyOfAWriteTakesNoStepBack()
    {
        order("v2", 10);
        rollout().setStatus(statusOf("v2", 1, 10), {1, 13}, m_now);
        rollout().setStatus(statusOf("v2", 0.3, 10), {1, 12}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(13), rollout().statusRevision().number);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), newRequests(100));
    }

    // Guards against a trial that begins anew, with further requests, after a restore.
    void restoredCopyTakesNoStepBack()
    {
        order("v2", 10);
        rollout().setStatus(statusOf("v2", 1, 10), {1, 13}, m_now);
        rollout().setOrder({"engine", "v2", 12s}, {2, 3}, false, m_now);
        rollout().setStatus(statusOf("v2", 0.05, 10), {2, 4}, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100), newRequests(100));
        const auto next = rollout().takeDueStatus(m_now);
        CPPUNIT_ASSERT(next && next->share == 1);
    }

    // Guards against the share of a deleted order, which the next one has no evidence for.
    void orderAfterAWithdrawnOneIsATrial()
    {
        order("v2", 10);
        rollout().setStatus(statusOf("v2", 0.3, 10), {1, 11}, m_now);
        rollout().removeOrder(1, m_now);
        order("v2", 20);
        const auto next = rollout().takeDueStatus(m_now);
        CPPUNIT_ASSERT(next && next->share == 0.05);
        CPPUNIT_ASSERT(next->isTrial);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(20), next->order.number);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), newRequests(100));
    }

    // Guards against a gateway that starts and takes the status for one of an earlier order.
    void orderWrittenAgainKeepsItsShare()
    {
        order("v2", 10);
        rollout().setStatus(statusOf("v2", 0.3, 10), {1, 11}, m_now);
        order("v2", 20);
        const auto next = rollout().takeDueStatus(m_now);
        CPPUNIT_ASSERT(next && next->share == 0.3);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(20), next->order.number);
    }

    // Guards against a gateway that does not hear the verdict and goes on with a bad version.
    void oldVersionComesFirstWithoutTheStore()
    {
        order("v2", 10);
        for (const double share : {0.3, 1.0}) {
            rollout().setStatus(statusOf("v2", share, 10), {1, share < 1 ? 11 : 12}, m_now);
            m_storeAge = 3s;
            for (const bool wantsNew : {false, true}) {
                const auto sides = rollout().sides(wantsNew, m_now);
                CPPUNIT_ASSERT(sides.front() == VersionSide::Old);
                // The old servers may have been stopped meanwhile.
                CPPUNIT_ASSERT(contains(sides, VersionSide::New));
            }
            m_storeAge = 0s;
        }
    }

    // Guards against an overload that sends most requests to a version that is not proven.
    void busyOldServersAddNothingToTheShare()
    {
        order("v2", 10);
        rollout().setStatus(statusOf("v2", 0.3, 10), {1, 11}, m_now);
        CPPUNIT_ASSERT(!contains(rollout().sides(false, m_now), VersionSide::New));
        CPPUNIT_ASSERT(rollout().sides(true, m_now).front() == VersionSide::New);
    }

    // Guards against a request at an old server that is stopped because all gateways had moved.
    void acknowledgedMoveIsKept()
    {
        order("v2", 10);
        rollout().setStatus(statusOf("v2", 1, 10), {1, 11}, m_now);
        CPPUNIT_ASSERT(contains(rollout().sides(true, m_now), VersionSide::Old));
        CPPUNIT_ASSERT(!rollout().witness(m_now)->isMoved);
        rollout().step(m_now);
        CPPUNIT_ASSERT(rollout().witness(m_now)->isMoved);
        CPPUNIT_ASSERT(!contains(rollout().sides(true, m_now), VersionSide::Old));
    }

    // Guards against requests without a server while old ones run.
    void acknowledgementEndsWithTheNewServers()
    {
        order("v2", 10);
        rollout().setStatus(statusOf("v2", 1, 10), {1, 11}, m_now);
        rollout().sides(true, m_now);
        rollout().step(m_now);
        unlist("v2");
        m_now += 1s;
        CPPUNIT_ASSERT(contains(rollout().sides(true, m_now), VersionSide::Old));
        rollout().step(m_now);
        CPPUNIT_ASSERT(!rollout().witness(m_now)->isMoved);
    }

    // Guards against a roll-out that waits for answers of servers that no longer exist.
    void versionWithoutAlternativeIsCompleted()
    {
        unlist("v1");
        order("v2", 10);
        for (int i = 0; i < 48; ++i) {
            for (int k = 0; k < 10; ++k)
                answer("v2");
            run(250ms);
        }
        CPPUNIT_ASSERT(rollout().status()->state == RolloutState::Completed);
    }

    // Guards against servers of a replaced version that start anew and get all requests at once.
    void replacedVersionIsOnTrialWhenItIsOrderedAgain()
    {
        answer("v1");
        m_now += 20s;
        order("v2", 10);
        rollout().setStatus(statusOf("v2", 1, 10, RolloutState::Completed), {1, 11}, m_now);
        order("v1", 20);
        const auto next = rollout().takeDueStatus(m_now);
        CPPUNIT_ASSERT(next && next->isTrial);
        CPPUNIT_ASSERT(next->share <= m_settings.maxShare);
    }

    // Guards against a clock that jumped and makes a trial look as old as its ramp.
    void wrongClockOfAStartedGatewayHastensNoStep()
    {
        RolloutStatus status = statusOf("v2", 0.05, 10);
        status.startedAtMs = (m_unixTime - 1h).count();
        status.elapsedMs = 1000;
        order("v2", 10, false);
        rollout().setStatus(status, {1, 11}, m_now);
        for (int i = 0; i < 40; ++i) {
            answer("v1");
            answer("v2");
        }
        run(1500ms);
        CPPUNIT_ASSERT_EQUAL(0.05, rollout().status()->share);
    }

    // Guards against a roll-out that begins anew at each gateway that starts.
    void orderAgeIsReadFromASoundClock()
    {
        RolloutStatus status = statusOf("v2", 0.05, 10);
        status.startedAtMs = (m_unixTime - 9s).count();
        status.elapsedMs = 1000;
        order("v2", 10, false);
        rollout().setStatus(status, {1, 11}, m_now);
        for (int i = 0; i < 40; ++i) {
            answer("v1");
            answer("v2");
        }
        run(1500ms);
        CPPUNIT_ASSERT(rollout().status()->share > 0.05);
    }

    // Guards against a step in the moment in which the store is back, before the other gateways
    // have told what they saw meanwhile.
    void returnOfTheStoreTakesNoStepWithoutEvidence()
    {
        order("v2", 10);
        run(250ms);
        for (int i = 0; i < 40; ++i) {
            answer("v1");
            answer("v2");
        }
        m_storeAge = 3s;
        run(6s);
        m_storeAge = 0s;
        run(1s);
        CPPUNIT_ASSERT_EQUAL(0.05, rollout().status()->share);
        run(1s);
        CPPUNIT_ASSERT_EQUAL(0.3, rollout().status()->share);
    }

    // Guards against a process that is killed and takes the bad answers that it saw with it: the
    // first writes of its successor replace them for all gateways.
    void restartedGatewayKeepsItsEvidence()
    {
        order("v2", 10, false);
        rollout().setStatus(statusOf("v2", 0.05, 10), {1, 11}, m_now);
        m_rollouts->restoreWitnesses({{"engine", failingWitness(10)}});
        rollout().step(m_now);
        CPPUNIT_ASSERT(rollout().isCondemned());
        CPPUNIT_ASSERT(rollout().witness(m_now)->rows == failingWitness(10).rows);
    }

    void evidenceOfAnotherOrderIsNotRestored()
    {
        order("v2", 20, false);
        rollout().setStatus(statusOf("v2", 0.05, 20), {1, 21}, m_now);
        m_rollouts->restoreWitnesses({{"engine", failingWitness(10)}});
        rollout().step(m_now);
        CPPUNIT_ASSERT(!rollout().isCondemned());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);
