#include "foxtailring/decisions/sessions/SecondAttempts.h"
#include "foxtailring/decisions/sessions/CallSession.h"

#include "ForwardFixture.h"

using namespace foxtailring;

class SecondAttemptsTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(SecondAttemptsTest);
    CPPUNIT_TEST(slowCallIsSentToAFreeServer);
    CPPUNIT_TEST(answerOfTheFirstCancelsTheSecond);
    CPPUNIT_TEST(answerOfTheSecondCancelsTheFirst);
    CPPUNIT_TEST(lateLoserIsIgnored);
    CPPUNIT_TEST(errorOfOneLeavesTheOther);
    CPPUNIT_TEST(nonIdempotentHasOneAttempt);
    CPPUNIT_TEST(slowServerHasMoreTime);
    CPPUNIT_TEST(noneInAnOverload);
    CPPUNIT_TEST(noneWithoutFreshFigures);
    CPPUNIT_TEST(noneAtServersThatLeaveOrPauseOrAreSuspected);
    CPPUNIT_TEST(lastRetryIsLeftToFailures);
    CPPUNIT_TEST(shareIsKept);
    CPPUNIT_TEST(correlatedSlownessRaisesTheTime);
    CPPUNIT_TEST(silenceOfTheFirstIsFoundOut);
    CPPUNIT_TEST(offByDefault);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        listServers();
        tellFreeSlots();
        for (int i = 0; i < 100; ++i) {
            retryBudget.deposit("engine", now);
            m_secondAttempts.recordRequest("engine", now);
            m_secondAttempts.recordTime("read", Ms(i < 99 ? 20 : 200), 1, now);
        }
    }

    void slowCallIsSentToAFreeServer()
    {
        CallSession session(m_read, request(), hedged());
        const std::string first = sent(session.start(now)).server.info.id;
        CPPUNIT_ASSERT(session.nextCheck() < now + Ms(30));
        const ForwardAction action = slow(session);
        CPPUNIT_ASSERT(sent(action).keepsLatest);
        CPPUNIT_ASSERT(first != sent(action).server.info.id);
        CPPUNIT_ASSERT_EQUAL(2U, inFlight());
    }

    // Guards against load that is counted at a server whose attempt was cancelled.
    void answerOfTheFirstCancelsTheSecond()
    {
        CallSession session(m_read, request(), hedged());
        session.start(now);
        slow(session);
        const ForwardAction passed = session.onFallbackAnswer(answer(200), now);
        CPPUNIT_ASSERT(std::get<PassAnswer>(passed).isFallback);
        CPPUNIT_ASSERT_EQUAL(0U, inFlight());
    }

    void answerOfTheSecondCancelsTheFirst()
    {
        CallSession session(m_read, request(), hedged());
        session.start(now);
        slow(session);
        const ForwardAction passed = session.onAnswer(answer(200), now);
        CPPUNIT_ASSERT(!std::get<PassAnswer>(passed).isFallback);
        CPPUNIT_ASSERT(!session.hasFallback());
        CPPUNIT_ASSERT_EQUAL(0U, inFlight());
    }

    // Guards against a second answer to the caller when both arrive together.
    void lateLoserIsIgnored()
    {
        CallSession session(m_read, request(), hedged());
        session.start(now);
        slow(session);
        session.onAnswer(answer(200), now);
        CPPUNIT_ASSERT(
            std::holds_alternative<KeepWaiting>(session.onFallbackAnswer(answer(200), now)));
        CPPUNIT_ASSERT(
            std::holds_alternative<KeepWaiting>(session.onFallbackEnded(AttemptResult::Lost, now)));
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.onAnswer(answer(200), now)));
    }

    // Guards against an error for the caller while the other attempt may succeed, and against a
    // third execution.
    void errorOfOneLeavesTheOther()
    {
        CallSession session(m_read, request(), hedged());
        session.start(now);
        slow(session);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.onAnswer(answer(500), now)));
        CPPUNIT_ASSERT(
            std::holds_alternative<PassAnswer>(session.onFallbackAnswer(answer(200), now)));
    }

    // Guards against a purchase that is executed twice.
    void nonIdempotentHasOneAttempt()
    {
        HttpRoute write = m_read;
        write.kind = CallKind::NonIdempotent;
        CallSession session(write, request(), hedged());
        session.start(now);
        CPPUNIT_ASSERT(session.nextCheck() >= now + 2 * write.latencyObjective);
    }

    // Guards against a second attempt for each call at a server that is slow anyway.
    void slowServerHasMoreTime()
    {
        const auto usual = m_secondAttempts.slowAfter("read", 1, now);
        const auto slower = m_secondAttempts.slowAfter("read", 2.5, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, static_cast<double>(slower->count()) / usual->count(),
                                     0.01);
    }

    // Guards against second attempts that make calls of others wait.
    void noneInAnOverload()
    {
        for (const char *id : {"a1", "a2", "b1", "b2", "c1", "c2"})
            servers.recordFigures(id, {4, 1, 4, 1.0, 0}, now);
        expectDenied("noFreeSlot");
    }

    // Guards against a second attempt at a server that may have no room.
    void noneWithoutFreshFigures()
    {
        now += Ms(2000);
        expectDenied("noFreeSlot");
    }

    void noneAtServersThatLeaveOrPauseOrAreSuspected()
    {
        CallSession session(m_read, request(), hedged());
        const std::string first = sent(session.start(now)).server.info.id;
        std::vector<std::string> others;
        for (const char *id : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
            if (id != first)
                others.emplace_back(id);
        }
        sayLeaving(others[0]);
        servers.recordFailure(others[1], now);
        BackendAnswer pause = answer(503);
        pause.namesPause = true;
        pause.pause = std::chrono::seconds(5);
        for (std::size_t i = 2; i < others.size(); ++i)
            pauses.recordAnswer(servers.server(others[i], now)->info, pause, now);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(slow(session)));
        CPPUNIT_ASSERT_EQUAL(std::string("noFreeSlot"), m_denials.back());
    }

    // Guards against a call that cannot be repeated after a failure, because slow calls have used
    // the budget up.
    void lastRetryIsLeftToFailures()
    {
        while (retryBudget.hasSpareRetry("engine", now))
            retryBudget.tryConsume("engine", now);
        CPPUNIT_ASSERT(retryBudget.hasRetry("engine", now));
        expectDenied("noRetry");
    }

    void shareIsKept()
    {
        std::size_t count = 0;
        for (int i = 0; i < 100; ++i) {
            CallSession session(m_read, request(), hedged());
            session.start(now);
            count += std::holds_alternative<SendAttempt>(slow(session)) ? 1 : 0;
        }
        // Of 200 requests in the last ten seconds.
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), count);
        CPPUNIT_ASSERT_EQUAL(std::string("shareUsedUp"), m_denials.back());
    }

    // Guards against twice the load on a service all of whose servers have become slow.
    void correlatedSlownessRaisesTheTime()
    {
        const auto before = m_secondAttempts.slowAfter("read", 1, now);
        for (int i = 0; i < 100; ++i)
            m_secondAttempts.recordTime("read", Ms(400), 1, now);
        CPPUNIT_ASSERT(m_secondAttempts.slowAfter("read", 1, now) > 10 * *before);
        now += std::chrono::seconds(60);
        CPPUNIT_ASSERT(!m_secondAttempts.slowAfter("read", 1, now));
    }

    // Guards against a crashed server that is not found out because another one has answered late
    // too.
    void silenceOfTheFirstIsFoundOut()
    {
        CallSession session(m_read, request(), hedged());
        session.start(now);
        const TimePoint silentAt = now + 2 * m_read.latencyObjective;
        slow(session);
        CPPUNIT_ASSERT(session.nextCheck() == silentAt);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.check(silentAt)));
        CPPUNIT_ASSERT(session.nextCheck() > silentAt);
    }

    void offByDefault()
    {
        CallSession session(m_read, request(), context());
        session.start(now);
        CPPUNIT_ASSERT(session.nextCheck() >= now + 2 * m_read.latencyObjective);
        SecondAttempts none {{}};
        for (int i = 0; i < 100; ++i)
            none.recordTime("read", Ms(20), 1, now);
        CPPUNIT_ASSERT(!none.slowAfter("read", 1, now));
    }

private:
    static HttpRoute readRoute()
    {
        HttpRoute read = route(CallKind::Idempotent);
        read.name = "read";
        return read;
    }

    void tellFreeSlots()
    {
        for (const char *id : {"a1", "a2", "b1", "b2", "c1", "c2"})
            servers.recordFigures(id, {1, 0, 4, 1.0, 0}, now);
    }

    ForwardContext hedged()
    {
        ForwardContext one = context();
        one.secondAttempts = &m_secondAttempts;
        one.onSecondAttemptDenied = [this](std::string_view reason) {
            m_denials.emplace_back(reason);
        };
        return one;
    }

    ForwardAction slow(CallSession &session) const { return session.check(session.nextCheck()); }

    void expectDenied(const std::string &reason)
    {
        CallSession session(m_read, request(), hedged());
        session.start(now);
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(slow(session)));
        CPPUNIT_ASSERT_EQUAL(reason, m_denials.back());
        CPPUNIT_ASSERT_EQUAL(1U, inFlight());
    }

    std::uint32_t inFlight() const
    {
        std::uint32_t count = 0;
        for (const BackendState &one : servers.candidates("engine", now))
            count += one.inFlight;
        return count;
    }

    const HttpRoute m_read = readRoute();
    SecondAttempts m_secondAttempts {{0.1}};
    std::vector<std::string> m_denials;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SecondAttemptsTest);
