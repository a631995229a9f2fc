#include "foxtailring/decisions/CallSession.h"

#include "ForwardFixture.h"

using namespace foxtailring;

class CallSessionTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(CallSessionTest);
    CPPUNIT_TEST(answerIsPassedOn);
    CPPUNIT_TEST(nonIdempotentIsNeverSentAfterItMayHaveRun);
    CPPUNIT_TEST(nonIdempotentGoesOnAfterNotRun);
    CPPUNIT_TEST(idempotentIsRepeatedElsewhere);
    CPPUNIT_TEST(attemptsThatRanAreBounded);
    CPPUNIT_TEST(silentServerIsLeftForAnother);
    CPPUNIT_TEST(refusalAfterARunPromisesNothing);
    CPPUNIT_TEST(fullServiceIsRefusedAtOnce);
    CPPUNIT_TEST(emptyBudgetEndsRepetitions);
    CPPUNIT_TEST(deadlineIsAnswered);
    CPPUNIT_TEST(unsignedSuccessIsNotPassedOn);
    CPPUNIT_TEST(serverUnavailableIsNotPassedOnAsNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    void answerIsPassedOn()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        CPPUNIT_ASSERT_EQUAL(std::string("a"),
                             sent(session.start(now)).server.info.availabilityZone);
        CPPUNIT_ASSERT(std::holds_alternative<PassAnswer>(session.onAnswer(answer(200), now)));
        CPPUNIT_ASSERT_EQUAL(0U, servers.server("a1", now)->inFlight);
    }

    // Guards against a call that runs twice: after a loss it is not known whether it ran.
    void nonIdempotentIsNeverSentAfterItMayHaveRun()
    {
        for (const auto result : {AttemptResult::Lost, AttemptResult::Silent}) {
            const HttpRoute once = route(CallKind::NonIdempotent);
            CallSession session(once, request(), context());
            session.start(now);
            CPPUNIT_ASSERT_EQUAL(502, refused(session.onAttemptEnded(result, now)).status);
        }
    }

    void nonIdempotentGoesOnAfterNotRun()
    {
        for (const auto result :
             {AttemptResult::NotSent, AttemptResult::NotRun, AttemptResult::OtherServer}) {
            const HttpRoute once = route(CallKind::NonIdempotent);
            CallSession session(once, request(), context());
            const std::string first = sent(session.start(now)).server.info.id;
            const std::string second = sent(session.onAttemptEnded(result, now)).server.info.id;
            CPPUNIT_ASSERT(first != second);
        }
    }

    void idempotentIsRepeatedElsewhere()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        const std::string first = sent(session.start(now)).server.info.id;
        const ForwardAction next = session.onAnswer(answer(500), now);
        CPPUNIT_ASSERT(first != sent(next).server.info.id);
    }

    // Guards against more runs of one request than its route allows.
    void attemptsThatRanAreBounded()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        session.start(now);
        sent(session.onAttemptEnded(AttemptResult::Lost, now));
        CPPUNIT_ASSERT_EQUAL(502, refused(session.onAttemptEnded(AttemptResult::Lost, now)).status);
    }

    // Guards against waiting until the deadline for an answer that was lost on its way.
    void silentServerIsLeftForAnother()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        const std::string first = sent(session.start(now)).server.info.id;
        const TimePoint due = session.nextCheck();
        CPPUNIT_ASSERT(due < now + Ms(1000));
        CPPUNIT_ASSERT(first != sent(session.check(due)).server.info.id);
        // The second attempt is the last one, and waits for the deadline.
        CPPUNIT_ASSERT(session.nextCheck() >= now + Ms(5000));
    }

    // Guards against a refusal that says "not run" of a request that ran before.
    void refusalAfterARunPromisesNothing()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        session.start(now);
        ForwardAction next = session.onAttemptEnded(AttemptResult::Lost, now);
        while (std::holds_alternative<SendAttempt>(next))
            next = session.onAttemptEnded(AttemptResult::NotRun, now);
        CPPUNIT_ASSERT_EQUAL(502, refused(next).status);
    }

    // Guards against holding a request that the whole service turns away.
    void fullServiceIsRefusedAtOnce()
    {
        const HttpRoute once = route(CallKind::NonIdempotent);
        CallSession session(once, request(), context());
        ForwardAction next = session.start(now);
        int attempts = 0;
        while (std::holds_alternative<SendAttempt>(next)) {
            ++attempts;
            next = session.onAttemptEnded(AttemptResult::NotRun, now);
        }
        CPPUNIT_ASSERT(attempts <= 3);
        CPPUNIT_ASSERT_EQUAL(503, refused(next).status);
        CPPUNIT_ASSERT(refused(next).retryAfter.count() > 0);
    }

    // Guards against repetitions that multiply the load of a failing service.
    void emptyBudgetEndsRepetitions()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        while (retryBudget.tryConsume("engine", now)) { }
        CallSession session(idempotent, request(), context());
        session.start(now);
        CPPUNIT_ASSERT_EQUAL(502, refused(session.onAttemptEnded(AttemptResult::Lost, now)).status);
    }

    void deadlineIsAnswered()
    {
        const HttpRoute once = route(CallKind::NonIdempotent);
        CallSession session(once, request(), context());
        session.start(now);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.check(now + Ms(4999))));
        CPPUNIT_ASSERT_EQUAL(504, refused(session.check(now + Ms(5000))).status);
    }

    // Guards against passing on a success that no server vouches for.
    void unsignedSuccessIsNotPassedOn()
    {
        const HttpRoute once = route(CallKind::NonIdempotent);
        CallSession session(once, request(), context());
        session.start(now);
        BackendAnswer unsigned200 = answer(200);
        unsigned200.isSigned = false;
        CPPUNIT_ASSERT_EQUAL(502, refused(session.onAnswer(unsigned200, now)).status);
    }

    // Guards against passing on a 503 of a run, which tells the caller that it has not run.
    void serverUnavailableIsNotPassedOnAsNotRun()
    {
        const HttpRoute once = route(CallKind::NonIdempotent);
        CallSession session(once, request(), context());
        session.start(now);
        CPPUNIT_ASSERT_EQUAL(502, refused(session.onAnswer(answer(503), now)).status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallSessionTest);
