#include "foxtailring/decisions/rollouts/RequestVersions.h"
#include "foxtailring/decisions/rollouts/Rollouts.h"
#include "foxtailring/decisions/sessions/CallSession.h"
#include "foxtailring/decisions/sessions/StreamSession.h"

#include "sessions/ForwardFixture.h"

using namespace foxtailring;
using namespace std::chrono_literals;

/// Requests of one gateway while `v2` is rolled out: servers 1 of each zone run `v1`, servers 2
/// `v2`.
class RolloutSessionTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(RolloutSessionTest);
    CPPUNIT_TEST(shareOfTheRequestsIsKept);
    CPPUNIT_TEST(rejectedRequestIsNotTriedAtTheNewVersionAgain);
    CPPUNIT_TEST(runOfTheOldVersionIsCopiedWithinIt);
    CPPUNIT_TEST(runOnTrialHasNoCopy);
    CPPUNIT_TEST(runOfAMoveHasNoCopy);
    CPPUNIT_TEST(copyAtACondemnedVersionIsNotUsed);
    CPPUNIT_TEST(withoutOrderAllVersionsServe);
    CPPUNIT_TEST_SUITE_END();

    RolloutSettings m_settings;
    std::unique_ptr<Rollouts> m_rollouts;

    RolloutEnvironment environment()
    {
        RolloutEnvironment out;
        out.servers = [this](std::string_view service, TimePoint at) {
            std::vector<BackendInfo> infos;
            for (const BackendState &server : servers.candidates(service, at))
                infos.push_back(server.info);
            return infos;
        };
        out.fleet = [](std::string_view) { return RolloutFleet {}; };
        out.storeAge = [](TimePoint) { return Duration {0}; };
        out.unixTime = [](TimePoint) { return Ms(0); };
        out.random = [this] { return random.generateDouble(); };
        return out;
    }

    void setShare(double share, RolloutState state = RolloutState::Serving)
    {
        RolloutStatus status;
        status.version = "v2";
        status.share = share;
        status.state = state;
        rollout().setStatus(status, {1, 11}, now);
    }

    Rollout &rollout() { return m_rollouts->of("engine"); }

    ForwardContext versionedContext()
    {
        ForwardContext out = context();
        out.versions = std::make_shared<RequestVersions>(*m_rollouts);
        return out;
    }

    bool isNew(const BackendState &server) const { return server.info.version == "v2"; }

    SendAttempt firstAttempt(StreamSession &session) { return sent(session.start(now)); }

public:
    void setUp() override
    {
        for (const std::string zone : {"a", "b", "c"}) {
            for (const std::string number : {"1", "2"}) {
                BackendInfo one = info(zone + number, zone);
                one.version = "v" + number;
                servers.put(one, now);
            }
        }
        m_settings.slackRequests = 0;
        m_rollouts = std::make_unique<Rollouts>(m_settings, environment());
        rollout().setOrder({"engine", "v2", 12s}, {1, 10}, true, now);
        setShare(0.05);
    }

    // Guards against repeats and second attempts that add to the share.
    void shareOfTheRequestsIsKept()
    {
        const HttpRoute safe = route(CallKind::Idempotent);
        int newCount = 0;
        for (int i = 0; i < 400; ++i) {
            CallSession session(safe, request(), versionedContext());
            ForwardAction action = session.start(now);
            while (const auto *attempt = std::get_if<SendAttempt>(&action)) {
                newCount += isNew(attempt->server) ? 1 : 0;
                action = session.onAnswer(answer(500), now);
            }
        }
        CPPUNIT_ASSERT(newCount >= 15);
        CPPUNIT_ASSERT(newCount <= 21);
    }

    // Guards against a rejected request that goes from one new server to the next.
    void rejectedRequestIsNotTriedAtTheNewVersionAgain()
    {
        const HttpRoute unsafe = route(CallKind::NonIdempotent);
        BackendAnswer rejected = answer(503);
        rejected.isNotRun = true;
        int newCount = 0;
        for (int i = 0; i < 100; ++i) {
            CallSession session(unsafe, request(), versionedContext());
            const ForwardAction first = session.start(now);
            if (!isNew(sent(first).server))
                continue;
            ++newCount;
            CPPUNIT_ASSERT(!isNew(sent(session.onAnswer(rejected, now)).server));
        }
        CPPUNIT_ASSERT(newCount > 0);
    }

    // Guards against a run that goes on from the memory of another version.
    void runOfTheOldVersionIsCopiedWithinIt()
    {
        const HttpRoute stream = route(CallKind::Stream);
        for (int i = 0; i < 10; ++i) {
            StreamSession session(stream, request(), versionedContext(), {true, false, false});
            const SendAttempt attempt = firstAttempt(session);
            CPPUNIT_ASSERT(!isNew(attempt.server));
            CPPUNIT_ASSERT(attempt.copyTo.has_value());
            CPPUNIT_ASSERT(!isNew(*attempt.copyTo));
        }
    }

    // Guards against a resumed run that is one more request to the new version.
    void runOnTrialHasNoCopy() { requireResumesAtTheOldVersion(); }

    // The same while the version gets a part of the requests: each failed run would count twice.
    void runOfAMoveHasNoCopy()
    {
        setShare(0.3);
        requireResumesAtTheOldVersion();
    }

    void requireResumesAtTheOldVersion()
    {
        const HttpRoute stream = route(CallKind::Stream);
        int newCount = 0;
        for (int i = 0; i < 60; ++i) {
            StreamSession session(stream, request(), versionedContext(), {true, false, false});
            const SendAttempt attempt = firstAttempt(session);
            if (!isNew(attempt.server))
                continue;
            ++newCount;
            CPPUNIT_ASSERT(!attempt.copyTo.has_value());
            session.onEvent(1, now);
            const ForwardAction next = session.onAttemptEnded(AttemptResult::Lost, now);
            CPPUNIT_ASSERT(!isNew(sent(next).server));
            CPPUNIT_ASSERT(sent(next).lastEventId == 1);
        }
        CPPUNIT_ASSERT(newCount > 0);
    }

    // Guards against a run that goes back to a version that was rolled back meanwhile.
    void copyAtACondemnedVersionIsNotUsed()
    {
        setShare(1);
        const HttpRoute stream = route(CallKind::Stream);
        StreamSession session(stream, request(), versionedContext(), {true, false, false});
        const SendAttempt attempt = firstAttempt(session);
        CPPUNIT_ASSERT(isNew(attempt.server));
        CPPUNIT_ASSERT(attempt.copyTo && isNew(*attempt.copyTo));
        session.onEvent(1, now);
        setShare(0, RolloutState::RolledBack);
        const ForwardAction next = session.onAttemptEnded(AttemptResult::Lost, now + 100ms);
        CPPUNIT_ASSERT(!isNew(sent(next).server));
        CPPUNIT_ASSERT(!sent(next).fromCopy);
    }

    // Guards against a fleet of several versions that loses servers where nothing is rolled out.
    void withoutOrderAllVersionsServe()
    {
        m_rollouts = std::make_unique<Rollouts>(m_settings, environment());
        const HttpRoute safe = route(CallKind::Idempotent);
        int newCount = 0;
        for (int i = 0; i < 100; ++i) {
            CallSession session(safe, request(), versionedContext());
            newCount += isNew(sent(session.start(now)).server) ? 1 : 0;
        }
        CPPUNIT_ASSERT(newCount > 20);
        CPPUNIT_ASSERT(newCount < 80);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutSessionTest);
