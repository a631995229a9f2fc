#include "foxtailring/decisions/sessions/CallSession.h"
#include "foxtailring/decisions/sessions/StreamSession.h"

#include "ForwardFixture.h"

#include <algorithm>

using namespace foxtailring;

// What becomes of a request while servers name rate limits.
class RateLimitedSessionTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(RateLimitedSessionTest);
    CPPUNIT_TEST(callGoesToAnotherServer);
    CPPUNIT_TEST(callIsRefusedWhenEveryServerIsLimited);
    CPPUNIT_TEST(retryCountsAgainstTheLimit);
    CPPUNIT_TEST(answerEndsTheLimit);
    CPPUNIT_TEST(otherServersLimitIsNotTaken);
    CPPUNIT_TEST(lateAnswerOfTheEarlierStartIsNotTheLimitOfTheNext);
    CPPUNIT_TEST(lateAnswerOfTheEarlierStartKeepsTheLimitOfTheNext);
    CPPUNIT_TEST(answerOfAServerThatIsNotListedCounts);
    CPPUNIT_TEST(limitedEngineIsNotProbedForPlacement);
    CPPUNIT_TEST(runIsPlacedWithoutAProbeWhenEveryEngineIsLimited);
    CPPUNIT_TEST(silentRunIsKeptWithoutAProbe);
    CPPUNIT_TEST(copyIsNotPlacedAtALimitedEngine);
    CPPUNIT_TEST(runDoesNotResumeBeyondTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    // Guards against a limited server that is taken for a failed one, or that uses the retry
    // budget.
    void callGoesToAnotherServer()
    {
        exhaust({"a1", "a2"});
        for (int i = 0; i < 20; ++i) {
            CallSession session(m_call, request(), context());
            CPPUNIT_ASSERT(sent(session.start(now)).server.info.availabilityZone != "a");
            session.onAnswer(answer(200), now);
        }
        CPPUNIT_ASSERT(servers.server("a1", now)->health == BackendHealth::Healthy);
    }

    void callIsRefusedWhenEveryServerIsLimited()
    {
        exhaust(m_all);
        CallSession session(m_call, request(), context());
        const Refuse refusal = refused(session.start(now));
        CPPUNIT_ASSERT_EQUAL(503, refusal.status);
        CPPUNIT_ASSERT_EQUAL(std::string("rateLimited"), std::string(refusal.cause));
        // Each is reported, so that the log explains the refusal.
        CPPUNIT_ASSERT_EQUAL(m_all.size(), limited.size());
        // The request before was sent now, and the window is 4 s.
        CPPUNIT_ASSERT(refusal.retryAfter >= Ms(4000));
        CPPUNIT_ASSERT(refusal.retryAfter <= Ms(4500));
    }

    void retryCountsAgainstTheLimit()
    {
        exhaust({"b1", "b2", "c1", "c2"});
        CallSession session(m_call, request(), context());
        const std::string first = sent(session.start(now)).server.info.id;
        const std::string second = first == "a1" ? "a2" : "a1";
        exhaust({second});
        CPPUNIT_ASSERT_EQUAL(502, refused(session.onAttemptEnded(AttemptResult::Lost, now)).status);
    }

    void answerEndsTheLimit()
    {
        exhaust({"a2", "b1", "b2", "c1", "c2"});
        name("a1", 8);
        now += Ms(10);
        CallSession session(m_call, request(), context());
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), sent(session.start(now)).server.info.id);
        session.onHead(answer(200), now);
        CPPUNIT_ASSERT(!rateLimits.isLimited("a1"));
    }

    // An address that was reused answers for another server.
    void otherServersLimitIsNotTaken()
    {
        CallSession session(m_call, request(), context());
        const std::string id = sent(session.start(now)).server.info.id;
        BackendAnswer other = answer(421);
        other.isOtherServer = true;
        other.namesRateLimit = true;
        other.rateLimit = 1;
        session.onHead(other, now);
        CPPUNIT_ASSERT(!rateLimits.isLimited(id));
    }

    // Guards against a new process that gets few requests because its predecessor took few.
    void lateAnswerOfTheEarlierStartIsNotTheLimitOfTheNext()
    {
        CallSession session(m_call, request(), context());
        const BackendInfo before = sent(session.start(now)).server.info;
        restart(before);
        session.onHead(limitAnswer(1), now);
        CPPUNIT_ASSERT(!rateLimits.isLimited(before.id));
    }

    // Guards against a limit that is exceeded since the process before the restart names none.
    void lateAnswerOfTheEarlierStartKeepsTheLimitOfTheNext()
    {
        const BackendInfo before = info("a1", "a");
        const BackendInfo after = restart(before);
        const TimePoint named = now;
        admission.recordAnswer(after, limitAnswer(8), named, named);
        admission.recordAnswer(before, answer(200), named + Ms(10), named + Ms(20));
        CPPUNIT_ASSERT(rateLimits.isLimited("a1"));
        admission.recordAnswer(before, limitAnswer(1000), named + Ms(10), named + Ms(20));
        CPPUNIT_ASSERT_EQUAL(8.0, admission.explainLimit("a1", named + Ms(20))->limit);
        admission.recordAnswer(after, answer(200), named + Ms(10), named + Ms(20));
        CPPUNIT_ASSERT(!rateLimits.isLimited("a1"));
    }

    // An entry may be missing for a moment.
    void answerOfAServerThatIsNotListedCounts()
    {
        const BackendInfo gone = info("d1", "a");
        admission.recordAnswer(gone, limitAnswer(8), now, now);
        CPPUNIT_ASSERT(rateLimits.isLimited("d1"));
    }

    void limitedEngineIsNotProbedForPlacement()
    {
        name("a1", 1000);
        for (int i = 0; i < 20; ++i) {
            StreamSession session(m_stream, request(), context(), {true, true, true});
            const auto probe = std::get<ProbeServers>(session.start(now));
            for (const BackendState &server : probe.servers)
                CPPUNIT_ASSERT(server.info.id != "a1");
        }
    }

    void runIsPlacedWithoutAProbeWhenEveryEngineIsLimited()
    {
        for (const std::string &id : m_all)
            name(id, 8);
        StreamSession session(m_stream, request(), context(), {true, true, true});
        const SendAttempt first = sent(session.start(now));
        CPPUNIT_ASSERT(!rateLimits.tryAcquire(first.server.info.id, now));
    }

    // Guards against a limited engine that loses its runs because it cannot be asked.
    void silentRunIsKeptWithoutAProbe()
    {
        for (const std::string &id : m_all)
            name(id, 8);
        StreamSession session(m_stream, request(), context(), {true, true, true});
        sent(session.start(now));
        session.onEvent(1, now + Ms(500));
        const TimePoint end = now + Ms(2000);
        for (TimePoint at = session.nextCheck(); at < end; at = session.nextCheck())
            CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.check(at)));
    }

    void copyIsNotPlacedAtALimitedEngine()
    {
        for (const char *id : {"b1", "c1", "c2"})
            name(id, 1000);
        for (int i = 0; i < 20; ++i) {
            StreamSession session(m_stream, request(), context(), {true, true, true});
            const auto probe = std::get<ProbeServers>(session.start(now));
            const SendAttempt first = sent(session.onProbed(reportsOf(probe), now));
            if (first.copyTo)
                CPPUNIT_ASSERT(!rateLimits.isLimited(first.copyTo->info.id));
            session.onAttemptEnded(AttemptResult::NotRun, now);
        }
    }

    void runDoesNotResumeBeyondTheLimit()
    {
        StreamSession session(m_stream, request(), context(), {true, true, true});
        const auto probe = std::get<ProbeServers>(session.start(now));
        const std::string copy = sent(session.onProbed(reportsOf(probe), now)).copyTo->info.id;
        session.onEvent(1, now + Ms(500));
        exhaust({copy});
        const ForwardAction next = session.onAttemptEnded(AttemptResult::Lost, now + Ms(600));
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(next));
    }

private:
    static BackendAnswer limitAnswer(double limit)
    {
        BackendAnswer limited = answer(200);
        limited.namesRateLimit = true;
        limited.rateLimit = limit;
        return limited;
    }

    void name(const std::string &id, double limit)
    {
        rateLimits.recordAnswer(id, limitAnswer(limit), now, now);
    }

    /// Lists a later start of the server at the same address.
    BackendInfo restart(const BackendInfo &before)
    {
        BackendInfo after = before;
        ++after.startedAtMs;
        servers.put(after, now);
        return after;
    }

    /// The servers name a limit of which this process has used its share.
    void exhaust(const std::vector<std::string> &ids)
    {
        for (const std::string &id : ids) {
            name(id, 8);
            rateLimits.tryAcquire(id, now);
            CPPUNIT_ASSERT(!rateLimits.tryAcquire(id, now));
        }
    }

    static std::vector<ServerProbeResult> reportsOf(const ProbeServers &probe)
    {
        std::vector<ServerProbeResult> reports;
        for (const BackendState &server : probe.servers) {
            ServerProbeResult one;
            one.serverId = server.info.id;
            reports.push_back(one);
        }
        return reports;
    }

    const std::vector<std::string> m_all {"a1", "a2", "b1", "b2", "c1", "c2"};
    const HttpRoute m_call = route(CallKind::Idempotent);
    const HttpRoute m_stream = route(CallKind::Stream);
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitedSessionTest);
