#include "foxtailring/decisions/sessions/CallSession.h"

#include "ForwardFixture.h"

using namespace foxtailring;

class CallSessionTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(CallSessionTest);
    CPPUNIT_TEST(answerIsPassedOn);
    CPPUNIT_TEST(nonIdempotentIsNotRetriedAfterItMayHaveRun);
    CPPUNIT_TEST(nonIdempotentIsRetriedIfNotExecuted);
    CPPUNIT_TEST(rejectedCallWithTooLittleTimeIsRefused);
    CPPUNIT_TEST(idempotentIsRetriedElsewhere);
    CPPUNIT_TEST(executionsAreLimited);
    CPPUNIT_TEST(silentServerIsReplaced);
    CPPUNIT_TEST(rejectionDoesNotEndASlowAttempt);
    CPPUNIT_TEST(slowAnswerIsPassedOn);
    CPPUNIT_TEST(slowAttemptThatIsLostIsReplaced);
    CPPUNIT_TEST(requestThatNoServerRanIsRefusedAsNotRun);
    CPPUNIT_TEST(serverErrorWaitsForASlowAttempt);
    CPPUNIT_TEST(slowAttemptCountsAsWorkUntilItsEnd);
    CPPUNIT_TEST(refusalAfterAnExecutionIsNot503);
    CPPUNIT_TEST(overloadedServiceIsRefusedAtOnce);
    CPPUNIT_TEST(emptyBudgetPreventsRetries);
    CPPUNIT_TEST(deadlineIsEnforced);
    CPPUNIT_TEST(unsignedSuccessIsNotPassedOn);
    CPPUNIT_TEST(promiseOfAServerThatMayHaveRunIsNotPassedOn);
    CPPUNIT_TEST(markedRefusalIsAPromise);
    CPPUNIT_TEST(idempotentCallGoesOnAfterAnUnprovenRefusal);
    CPPUNIT_TEST(promiseOfASlowServerIsNotPassedOn);
    CPPUNIT_TEST(refusalWhileAnAttemptIsAtAServerPromisesNothing);
    CPPUNIT_TEST(otherErrorsOfAServerArePassedOn);
    CPPUNIT_TEST(leavingServerGetsNoCalls);
    CPPUNIT_TEST(refusalOfALeavingServerCounts);
    CPPUNIT_TEST(answerOfAnotherServerIsNoNotice);
    CPPUNIT_TEST(callIsRefusedAtOnceIfAllServersLeave);
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

    // After a lost attempt it is unknown whether the call was executed. Guards against a second
    // execution.
    void nonIdempotentIsNotRetriedAfterItMayHaveRun()
    {
        for (const auto result : {AttemptResult::Lost, AttemptResult::Silent}) {
            const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
            CallSession session(nonIdempotent, request(), context());
            session.start(now);
            CPPUNIT_ASSERT_EQUAL(502, refused(session.onAttemptEnded(result, now)).status);
        }
    }

    void nonIdempotentIsRetriedIfNotExecuted()
    {
        for (const auto result :
             {AttemptResult::NotSent, AttemptResult::NotRun, AttemptResult::OtherServer}) {
            const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
            CallSession session(nonIdempotent, request(), context());
            const std::string first = sent(session.start(now)).server.info.id;
            const std::string second = sent(session.onAttemptEnded(result, now)).server.info.id;
            CPPUNIT_ASSERT(first != second);
        }
    }

    // Guards against another attempt that the end of a stopping process would cut off.
    void rejectedCallWithTooLittleTimeIsRefused()
    {
        const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
        ForwardRequest drained = request();
        drained.minAttemptTime = Ms(2000);
        for (const auto &[age, isSent] : {std::pair {Ms(3000), true}, {Ms(3001), false}}) {
            CallSession session(nonIdempotent, drained, context());
            session.start(now);
            const ForwardAction next = session.onAttemptEnded(AttemptResult::NotRun, now + age);
            CPPUNIT_ASSERT_EQUAL(isSent, std::holds_alternative<SendAttempt>(next));
            if (!isSent)
                CPPUNIT_ASSERT_EQUAL(503, refused(next).status);
        }
    }

    void idempotentIsRetriedElsewhere()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        const std::string first = sent(session.start(now)).server.info.id;
        const ForwardAction next = session.onAnswer(answer(500), now);
        CPPUNIT_ASSERT(first != sent(next).server.info.id);
    }

    // Guards against executing a request more often than its route allows.
    void executionsAreLimited()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        session.start(now);
        sent(session.onAttemptEnded(AttemptResult::Lost, now));
        CPPUNIT_ASSERT_EQUAL(502, refused(session.onAttemptEnded(AttemptResult::Lost, now)).status);
    }

    // Guards against waiting until the deadline for an answer that was lost.
    void silentServerIsReplaced()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        const std::string first = sent(session.start(now)).server.info.id;
        const TimePoint due = session.nextCheck();
        CPPUNIT_ASSERT(due < now + Ms(1000));
        CPPUNIT_ASSERT(first != sent(session.check(due)).server.info.id);
        // The second attempt is the last one and may take until the deadline. Its server is only
        // suspected meanwhile.
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.check(session.nextCheck())));
        CPPUNIT_ASSERT(session.nextCheck() >= now + Ms(5000));
    }

    // Guards against 502 for a slow read because the servers that were asked next turned it away.
    void rejectionDoesNotEndASlowAttempt()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        session.start(now);
        ForwardAction next = session.check(session.nextCheck());
        sent(next);
        while (std::holds_alternative<SendAttempt>(next))
            next = session.onAttemptEnded(AttemptResult::NotRun, now + Ms(700));
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(next));
        CPPUNIT_ASSERT_EQUAL(504, refused(session.check(now + Ms(5000))).status);
    }

    // Whether another server has turned the request away, works on it, or failed.
    void slowAnswerIsPassedOn()
    {
        for (const auto result :
             {std::optional(AttemptResult::NotRun), std::optional(AttemptResult::Lost), {}}) {
            const HttpRoute idempotent = route(CallKind::Idempotent);
            CallSession session(idempotent, request(), context());
            overdue(session);
            ForwardAction next = KeepWaiting {};
            if (result)
                next = session.onAttemptEnded(*result, now + Ms(700));
            CPPUNIT_ASSERT(!std::holds_alternative<Refuse>(next));
            next = session.onFallbackAnswer(answer(200), now + Ms(900));
            CPPUNIT_ASSERT(std::holds_alternative<PassAnswer>(next));
            CPPUNIT_ASSERT(std::get<PassAnswer>(next).isFallback);
        }
    }

    void slowAttemptThatIsLostIsReplaced()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        overdue(session);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(
            session.onFallbackEnded(AttemptResult::Lost, now + Ms(700))));
        const ForwardAction next = session.onAnswer(answer(200), now + Ms(800));
        CPPUNIT_ASSERT(std::holds_alternative<PassAnswer>(next));
        CPPUNIT_ASSERT(!std::get<PassAnswer>(next).isFallback);
    }

    // 502 only if one of the servers may have executed it.
    void requestThatNoServerRanIsRefusedAsNotRun()
    {
        for (const auto &[last, status] :
             {std::pair {AttemptResult::NotRun, 503}, {AttemptResult::Lost, 502}}) {
            const HttpRoute idempotent = route(CallKind::Idempotent);
            CallSession session(idempotent, request(), context());
            overdue(session);
            ForwardAction next = session.onAttemptEnded(AttemptResult::NotRun, now + Ms(700));
            while (std::holds_alternative<SendAttempt>(next))
                next = session.onAttemptEnded(AttemptResult::NotRun, now + Ms(700));
            CPPUNIT_ASSERT_EQUAL(status,
                                 refused(session.onFallbackEnded(last, now + Ms(800))).status);
        }
    }

    // Guards against a server's error that is passed on although an answer is on its way.
    void serverErrorWaitsForASlowAttempt()
    {
        for (const bool isAnswered : {true, false}) {
            const HttpRoute idempotent = route(CallKind::Idempotent);
            CallSession session(idempotent, request(), context());
            overdue(session);
            CPPUNIT_ASSERT(
                std::holds_alternative<KeepWaiting>(session.onAnswer(answer(500), now + Ms(700))));
            const ForwardAction next =
                session.onFallbackAnswer(answer(isAnswered ? 200 : 500), now + Ms(800));
            CPPUNIT_ASSERT(std::holds_alternative<PassAnswer>(next));
            CPPUNIT_ASSERT_EQUAL(isAnswered, std::get<PassAnswer>(next).isFallback);
        }
    }

    void slowAttemptCountsAsWorkUntilItsEnd()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        std::optional<CallSession> session(std::in_place, idempotent, request(), context());
        const std::string first = sent(session->start(now)).server.info.id;
        const std::string second = sent(session->check(session->nextCheck())).server.info.id;
        CPPUNIT_ASSERT_EQUAL(1U, servers.server(first, now)->inFlight);
        CPPUNIT_ASSERT_EQUAL(1U, servers.server(second, now)->inFlight);
        session.reset();
        CPPUNIT_ASSERT_EQUAL(0U, servers.server(first, now)->inFlight);
        CPPUNIT_ASSERT_EQUAL(0U, servers.server(second, now)->inFlight);
    }

    // Guards against a status that means "not executed" although an earlier attempt may have run.
    void refusalAfterAnExecutionIsNot503()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession session(idempotent, request(), context());
        session.start(now);
        ForwardAction next = session.onAttemptEnded(AttemptResult::Lost, now);
        while (std::holds_alternative<SendAttempt>(next))
            next = session.onAttemptEnded(AttemptResult::NotRun, now);
        CPPUNIT_ASSERT_EQUAL(502, refused(next).status);
    }

    // Guards against retrying a request that every server rejects.
    void overloadedServiceIsRefusedAtOnce()
    {
        const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
        CallSession session(nonIdempotent, request(), context());
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

    // Guards against retries that multiply the load of a failing service.
    void emptyBudgetPreventsRetries()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        while (retryBudget.tryConsume("engine", now)) { }
        CallSession session(idempotent, request(), context());
        session.start(now);
        CPPUNIT_ASSERT_EQUAL(502, refused(session.onAttemptEnded(AttemptResult::Lost, now)).status);
    }

    void deadlineIsEnforced()
    {
        const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
        CallSession session(nonIdempotent, request(), context());
        session.start(now);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.check(now + Ms(4999))));
        CPPUNIT_ASSERT_EQUAL(504, refused(session.check(now + Ms(5000))).status);
    }

    // Guards against passing on a success that was not signed by the server.
    void unsignedSuccessIsNotPassedOn()
    {
        const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
        CallSession session(nonIdempotent, request(), context());
        session.start(now);
        BackendAnswer unsigned200 = answer(200);
        unsigned200.isSigned = false;
        CPPUNIT_ASSERT_EQUAL(502, refused(session.onAnswer(unsigned200, now)).status);
    }

    // Guards against passing on a 503 for an executed request: to the caller it means "not
    // executed".
    // Guards against an order that is filed again after a server ran it and answered 429.
    void promiseOfAServerThatMayHaveRunIsNotPassedOn()
    {
        for (const int status : {503, 429, 408, 421, 400}) {
            const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
            CallSession session(nonIdempotent, request(), context());
            session.start(now);
            const ForwardAction action = session.onAnswer(unmarked(status), now);
            CPPUNIT_ASSERT_EQUAL(502, refused(action).status);
        }
    }

    // Guards against the loss of calls that have not run and could run elsewhere.
    void markedRefusalIsAPromise()
    {
        for (const int status : {503, 429, 408, 421, 400}) {
            const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
            CallSession session(nonIdempotent, request(), context());
            ForwardAction action = session.start(now);
            while (std::holds_alternative<SendAttempt>(action)) {
                BackendAnswer refusal = unmarked(status);
                refusal.isNotRun = true;
                action = session.onAnswer(refusal, now);
            }
            CPPUNIT_ASSERT_EQUAL(503, refused(action).status);
            CPPUNIT_ASSERT_EQUAL(0U, session.possibleRuns());
        }
    }

    void idempotentCallGoesOnAfterAnUnprovenRefusal()
    {
        for (const int status : {503, 429, 408, 421}) {
            const HttpRoute idempotent = route(CallKind::Idempotent);
            CallSession session(idempotent, request(), context());
            session.start(now);
            sent(session.onAnswer(unmarked(status), now));
            CPPUNIT_ASSERT_EQUAL(502, refused(session.onAnswer(unmarked(status), now)).status);
        }
    }

    // Guards against a refusal that promises "not run" while a server may still run the request.
    void refusalWhileAnAttemptIsAtAServerPromisesNothing()
    {
        struct RefusingSession : CallSession
        {
            using CallSession::CallSession;
            ForwardAction refusal() const { return refuse(503, "noServer"); }
        };
        const HttpRoute calls = route(CallKind::NonIdempotent);
        RefusingSession session(calls, request(), context());
        CPPUNIT_ASSERT_EQUAL(503, refused(session.refusal()).status);
        sent(session.start(now));
        CPPUNIT_ASSERT_EQUAL(502, refused(session.refusal()).status);
        session.onAttemptEnded(AttemptResult::NotRun, now);
        session.onAttemptEnded(AttemptResult::NotRun, now);
        session.onAttemptEnded(AttemptResult::NotRun, now);
        CPPUNIT_ASSERT_EQUAL(503, refused(session.refusal()).status);
    }

    void promiseOfASlowServerIsNotPassedOn()
    {
        for (const int status : {503, 429, 408, 421}) {
            const HttpRoute idempotent = route(CallKind::Idempotent);
            CallSession session(idempotent, request(), context());
            overdue(session);
            session.onAttemptEnded(AttemptResult::Lost, now);
            const ForwardAction action = session.onFallbackAnswer(unmarked(status), now);
            CPPUNIT_ASSERT_EQUAL(502, refused(action).status);
        }
    }

    void otherErrorsOfAServerArePassedOn()
    {
        for (const int status : {401, 404, 409, 413, 422, 500, 504}) {
            const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
            CallSession session(nonIdempotent, request(), context());
            session.start(now);
            CPPUNIT_ASSERT(
                std::holds_alternative<PassAnswer>(session.onAnswer(unmarked(status), now)));
        }
    }

    // Guards against calls, first or repeated ones, to a server whose answer said that it leaves.
    void leavingServerGetsNoCalls()
    {
        const HttpRoute idempotent = route(CallKind::Idempotent);
        CallSession first(idempotent, request(), context());
        const std::string leaving = sent(first.start(now)).server.info.id;
        BackendAnswer last = answer(200);
        last.leaving = LeavingNotice::Leaving;
        first.onHead(last, now);
        CPPUNIT_ASSERT(std::holds_alternative<PassAnswer>(first.onAnswer(last, now)));
        for (int call = 0; call < 100; ++call) {
            CallSession next(idempotent, request(), context());
            CPPUNIT_ASSERT(leaving != sent(next.start(now)).server.info.id);
            const ForwardAction retry = next.onAttemptEnded(AttemptResult::NotSent, now);
            CPPUNIT_ASSERT(leaving != sent(retry).server.info.id);
        }
    }

    // The header may stand in refusals and errors only. Guards against reading it from successes
    // only.
    void refusalOfALeavingServerCounts()
    {
        for (const int status : {503, 500, 404}) {
            const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
            CallSession session(nonIdempotent, request(), context());
            const std::string id = sent(session.start(now)).server.info.id;
            BackendAnswer refusal;
            refusal.status = status;
            refusal.isNotRun = status == 503;
            refusal.leaving = LeavingNotice::Leaving;
            session.onHead(refusal, now);
            CPPUNIT_ASSERT(!servers.server(id, now)->acceptsNewWork());
        }
    }

    // Guards against losing a server to what something else at its address says.
    void answerOfAnotherServerIsNoNotice()
    {
        for (const bool isOther : {true, false}) {
            const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
            CallSession session(nonIdempotent, request(), context());
            const std::string id = sent(session.start(now)).server.info.id;
            BackendAnswer other;
            other.status = isOther ? 421 : 200;
            other.isOtherServer = isOther;
            other.leaving = LeavingNotice::Leaving;
            session.onHead(other, now);
            CPPUNIT_ASSERT(!servers.server(id, now)->isLeaving);
        }
    }

    // Guards against holding a call until its deadline, and against sending it to a server that
    // leaves for want of another.
    void callIsRefusedAtOnceIfAllServersLeave()
    {
        for (const char *id : {"a1", "a2", "b1", "b2", "c1", "c2"})
            sayLeaving(id);
        const HttpRoute nonIdempotent = route(CallKind::NonIdempotent);
        CallSession session(nonIdempotent, request(), context());
        const ForwardAction action = session.start(now);
        CPPUNIT_ASSERT_EQUAL(503, refused(action).status);
        CPPUNIT_ASSERT(refused(action).retryAfter.count() > 0);
        CPPUNIT_ASSERT_EQUAL(0U, session.possibleRuns());
    }

private:
    static BackendAnswer unmarked(int status)
    {
        BackendAnswer one;
        one.status = status;
        one.isOtherServer = status == 421;
        return one;
    }

    /// The first attempt is overdue, and another server is asked.
    void overdue(CallSession &session)
    {
        session.start(now);
        CPPUNIT_ASSERT(sent(session.check(session.nextCheck())).keepsLatest);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallSessionTest);
