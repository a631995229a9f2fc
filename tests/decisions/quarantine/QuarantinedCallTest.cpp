#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/decisions/sessions/CallSession.h"
#include "foxtailring/decisions/sessions/StreamSession.h"
#include "foxtailring/protocol/RequestDigest.h"

#include "sessions/ForwardFixture.h"

#include <array>
#include <span>
#include <string_view>
#include <vector>

using namespace foxtailring;

// Calls that crash the servers that run them: their repeats share nothing but their content.
class QuarantinedCallTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(QuarantinedCallTest);
    CPPUNIT_TEST(repeatOfACallThatCrashedThreeServersIsRefused);
    CPPUNIT_TEST(idempotentCallIsNotSentToAFourthServer);
    CPPUNIT_TEST(refusalOfACallThatHasRunDoesNotSayOtherwise);
    CPPUNIT_TEST(otherCallsOfTheCallerAreSent);
    CPPUNIT_TEST(callsLostTogetherAreBothSent);
    CPPUNIT_TEST(answerClearsACall);
    CPPUNIT_TEST(failureOfItsServerClearsACall);
    CPPUNIT_TEST(rejectionClearsNothing);
    CPPUNIT_TEST(crashUnderAReplacedAttemptCounts);
    CPPUNIT_TEST(streamWithoutSharedPartsIsRefused);
    CPPUNIT_TEST(crashWithoutAnEndOfTheConnectionCounts);
    CPPUNIT_TEST(callThatIsOverdueAfterTheProofCounts);
    CPPUNIT_TEST(slowServerIsNoCrash);
    CPPUNIT_TEST(pauseClearsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    // Guards against a call that crashes one server after the other (inc10).
    void repeatOfACallThatCrashedThreeServersIsRefused()
    {
        crash("deadly", 3);
        CallSession repeat(m_single, call("deadly"), context());
        const auto action = repeat.start(now);
        CPPUNIT_ASSERT_EQUAL(503, refused(action).status);
        CPPUNIT_ASSERT_EQUAL(Ms(0).count(), refused(action).retryAfter.count());
        CPPUNIT_ASSERT_EQUAL(call("deadly").contentDigest, quarantinedParts.at(0));
    }

    void idempotentCallIsNotSentToAFourthServer()
    {
        crash("deadly", 2);
        CallSession session(m_repeatable, call("deadly"), context());
        sent(session.start(now));
        now += Ms(1000);
        CPPUNIT_ASSERT_EQUAL(502, refused(session.onAttemptEnded(AttemptResult::Lost, now)).status);
    }

    // Guards against a refusal that says "not run" for a call that a server has begun.
    void refusalOfACallThatHasRunDoesNotSayOtherwise()
    {
        crash("deadly", 2);
        CallSession session(m_single, call("deadly"), context());
        sent(session.start(now));
        now += Ms(1000);
        CPPUNIT_ASSERT_EQUAL(502, refused(session.onAttemptEnded(AttemptResult::Lost, now)).status);
    }

    void otherCallsOfTheCallerAreSent()
    {
        crash("deadly", 3);
        CallSession other(m_single, call("other"), context());
        sent(other.start(now));
    }

    // Guards against refusing a sound call that died beside a deadly one.
    void callsLostTogetherAreBothSent()
    {
        // Two calls at each server, both lost with it.
        for (int i = 0; i < 3; ++i) {
            CallSession deadly(m_single, call("deadly"), context());
            CallSession sound(m_single, call("sound"), context());
            const BackendInfo server = sent(deadly.start(now)).server.info;
            sent(sound.start(now));
            suspectedCrashes.recordReset(server, digestOf("sound"), false, now);
            deadly.onAttemptEnded(AttemptResult::Lost, now);
            restart(server);
            now += Ms(1000);
        }
        CallSession sound(m_single, call("sound"), context());
        sent(sound.start(now));
        sound.onAnswer(answer(200), now);
        // Only now is it known which of the two is the cause.
        CallSession repeat(m_single, call("deadly"), context());
        CPPUNIT_ASSERT_EQUAL(503, refused(repeat.start(now)).status);
        CallSession again(m_single, call("sound"), context());
        sent(again.start(now));
    }

    void answerClearsACall() { CPPUNIT_ASSERT(isSentAfter(answer(200))); }

    // A server that answers with a failure has not crashed.
    void failureOfItsServerClearsACall() { CPPUNIT_ASSERT(isSentAfter(answer(500))); }

    // Guards against a server that is full and so hides what crashes the others.
    void rejectionClearsNothing()
    {
        BackendAnswer rejection = answer(503);
        rejection.isNotRun = true;
        CPPUNIT_ASSERT(!isSentAfter(rejection));
    }

    // A call that takes long is sent to a second server while the first one still has it.
    void crashUnderAReplacedAttemptCounts()
    {
        crash("deadly", 2);
        CallSession session(m_repeatable, call("deadly"), context());
        sent(session.start(now));
        now = session.nextCheck();
        sent(session.check(now));
        session.onFallbackEnded(AttemptResult::Lost, now + Ms(100));
        CallSession repeat(m_repeatable, call("deadly"), context());
        CPPUNIT_ASSERT_EQUAL(503, refused(repeat.start(now + Ms(100))).status);
    }

    // Guards against streams that have no part in common with others but are the same themselves.
    void streamWithoutSharedPartsIsRefused()
    {
        for (int i = 0; i < 3; ++i) {
            StreamSession session(m_stream, call("deadly"), context(), {});
            sent(session.start(now));
            now += Ms(1000);
            session.onAttemptEnded(AttemptResult::Lost, now);
        }
        StreamSession repeat(m_stream, call("deadly"), context(), {});
        CPPUNIT_ASSERT_EQUAL(503, refused(repeat.start(now)).status);
    }

    // Guards against a call that takes whole machines down, which close no connections.
    void crashWithoutAnEndOfTheConnectionCounts()
    {
        leaveUnanswered();
        const auto due = suspectedCrashes.takeDueProbes(servers, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), due.size());
        for (const BackendState &server : due)
            suspectedCrashes.recordProbed(server.info, now);
        CallSession repeat(m_single, call("deadly"), context());
        CPPUNIT_ASSERT_EQUAL(503, refused(repeat.start(now)).status);
    }

    // Guards against a call with a long objective, whose servers others find down before it is
    // overdue.
    void callThatIsOverdueAfterTheProofCounts()
    {
        for (int i = 0; i < 3; ++i) {
            CallSession deadly(m_single, call("deadly"), context());
            const BackendInfo server = sent(deadly.start(now)).server.info;
            suspectedCrashes.suspect(server, digestOf("sound"), now, now);
            suspectedCrashes.recordProbed(server, now + SuspectedCrashes::maxSoundSilence);
            CPPUNIT_ASSERT(suspectedCrashes.hasCrashed(server));
            now = deadly.nextCheck();
            deadly.check(now);
            servers.remove(server.id, now);
        }
        quarantine.recordStart(digestOf("sound"), now);
        CallSession repeat(m_single, call("deadly"), context());
        CPPUNIT_ASSERT_EQUAL(503, refused(repeat.start(now)).status);
    }

    void slowServerIsNoCrash()
    {
        leaveUnanswered();
        for (const BackendState &server : suspectedCrashes.takeDueProbes(servers, now)) {
            ServerProbeResult report;
            report.serverId = server.info.id;
            report.startedAtMs = server.info.startedAtMs;
            suspectedCrashes.recordProbed(server.info, std::span(&report, 1), servers, now);
        }
        CallSession repeat(m_single, call("deadly"), context());
        sent(repeat.start(now));
    }

    // Guards against a deadly call that goes on because servers ask for pauses between its crashes.
    void pauseClearsNothing()
    {
        BackendAnswer pause = answer(503);
        pause.namesPause = true;
        pause.pause = Ms(100);
        CPPUNIT_ASSERT(!isSentAfter(pause));
    }

private:
    // Three servers are silent under the same call, one after the other.
    void leaveUnanswered()
    {
        std::vector<BackendInfo> silent;
        for (int i = 0; i < 3; ++i) {
            CallSession session(m_single, call("deadly"), context());
            const BackendInfo server = sent(session.start(now)).server.info;
            now = session.nextCheck();
            CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.check(now)));
            // The next call goes to another one.
            servers.remove(server.id, now);
            silent.push_back(server);
            now += Ms(1000);
        }
        for (const BackendInfo &server : silent)
            servers.put(server, now);
        now += SuspectedCrashes::maxSoundSilence;
    }

    static std::vector<std::string> digestOf(std::string_view content)
    {
        const std::array fields {content};
        return {RequestDigest::of(fields)};
    }

    ForwardRequest call(std::string_view content) const
    {
        ForwardRequest out = request();
        out.contentDigest = digestOf(content).front();
        return out;
    }

    // Servers end without an answer, one a second.
    void crash(std::string_view content, int servers)
    {
        for (int i = 0; i < servers; ++i) {
            CallSession session(m_single, call(content), context());
            const BackendInfo server = sent(session.start(now)).server.info;
            session.onAttemptEnded(AttemptResult::Lost, now);
            restart(server);
            now += Ms(1000);
        }
    }

    void restart(BackendInfo server)
    {
        ++server.startedAtMs;
        servers.put(server, now);
    }

    // True if the call is sent after two crashes, an answer, and another crash.
    bool isSentAfter(const BackendAnswer &between)
    {
        crash("call", 2);
        CallSession answered(m_single, call("call"), context());
        sent(answered.start(now));
        answered.onAnswer(between, now);
        now += Ms(1000);
        crash("call", 1);
        CallSession repeat(m_single, call("call"), context());
        return std::holds_alternative<SendAttempt>(repeat.start(now));
    }

    HttpRoute m_single = route(CallKind::NonIdempotent);
    HttpRoute m_repeatable = route(CallKind::Idempotent);
    HttpRoute m_stream = route(CallKind::Stream);
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantinedCallTest);
