#include "foxtailring/decisions/sessions/CallSession.h"
#include "foxtailring/decisions/sessions/StreamSession.h"

#include "sessions/ForwardFixture.h"

#include <deque>

using namespace foxtailring;

// Sessions of requests whose prompt may crash servers.
class QuarantinedSessionTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(QuarantinedSessionTest);
    CPPUNIT_TEST(requestThatCrashesTwoServersIsNotSentToAThird);
    CPPUNIT_TEST(requestWithAQuarantinedPartIsRefusedAtOnce);
    CPPUNIT_TEST(partQuarantinedDuringThePlacementKeepsTheRequest);
    CPPUNIT_TEST(beginningOfAnswersClearsTheParts);
    CPPUNIT_TEST(streamThatHasBegunIsResumed);
    CPPUNIT_TEST(serverThatFailsLaterIsNoCrash);
    CPPUNIT_TEST(invalidAnswerIsNoCrash);
    CPPUNIT_TEST(pauseOfASoundServerIsNoCrash);
    CPPUNIT_TEST(serverThatStaysSilentIsACrash);
    CPPUNIT_TEST(resetOfASilentServerIsACrash);
    CPPUNIT_TEST(serverThatCrashesAfterAPauseIsACrash);
    CPPUNIT_TEST(trialIsSentOnce);
    CPPUNIT_TEST(trialThatDidNotRunIsSentAgain);
    CPPUNIT_TEST(silentLossOfAZoneAccusesNoPrompt);
    CPPUNIT_TEST(requestThatHasBegunAccusesNoPrompt);
    CPPUNIT_TEST(silentStreamIsNotCutByAQuarantine);
    CPPUNIT_TEST(silentPromptWithAQuarantinedPartIsKeptAtItsServer);
    CPPUNIT_TEST(silentPromptIsRefusedOnceItsServerHasCrashed);
    CPPUNIT_TEST(silentTrialIsNotSentAgain);
    CPPUNIT_TEST(begunStreamIsNotEndedByAQuarantine);
    CPPUNIT_TEST(lossAfterAnEventAccusesNoPrompt);
    CPPUNIT_TEST(laterLossOfABegunStreamAccusesNoPrompt);
    CPPUNIT_TEST(begunStreamMovesOnceItsServerHasCrashed);
    CPPUNIT_TEST(requestWhoseServerDidNotCrashIsSentAgain);
    CPPUNIT_TEST(promptKeptAtALostServerIsNoCrash);
    CPPUNIT_TEST(callInProgressIsNotDroppedByAQuarantine);
    CPPUNIT_TEST(wholeAnswerClearsTheParts);
    CPPUNIT_TEST(callKeptByAQuarantineTakesNoRetry);
    CPPUNIT_TEST(laterStartThanTheEntryIsNoCrashByItself);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    void requestThatCrashesTwoServersIsNotSentToAThird()
    {
        StreamSession session(m_route, deadlyRequest(), context(), {});
        sent(session.start(now));
        sent(session.onAttemptEnded(AttemptResult::Lost, now + Ms(1000)));
        const auto action = session.onAttemptEnded(AttemptResult::Lost, now + Ms(2000));
        CPPUNIT_ASSERT_EQUAL(502, refused(action).status);
    }

    // Guards against a caller that is told to come back although that cannot help.
    void requestWithAQuarantinedPartIsRefusedAtOnce()
    {
        quarantinePart();
        StreamSession session(m_route, deadlyRequest(), context(), {true, true, true});
        const auto action = session.start(now);
        CPPUNIT_ASSERT_EQUAL(503, refused(action).status);
        CPPUNIT_ASSERT_EQUAL(Ms(0).count(), refused(action).retryAfter.count());
        CPPUNIT_ASSERT_EQUAL(std::string("second"), quarantinedParts.at(0));
        HttpRoute calls = route(CallKind::NonIdempotent);
        CallSession call(calls, deadlyRequest(), context());
        CPPUNIT_ASSERT_EQUAL(503, refused(call.start(now)).status);
    }

    void partQuarantinedDuringThePlacementKeepsTheRequest()
    {
        StreamSession session(m_route, deadlyRequest(), context(), {true, true, true});
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(session.start(now)));
        quarantinePart();
        CPPUNIT_ASSERT_EQUAL(503, refused(session.onProbed({}, now)).status);
    }

    void beginningOfAnswersClearsTheParts()
    {
        quarantinePart();
        quarantine.setHooks({nullptr, nullptr, nullptr, [](std::string_view) { return true; }});
        now += std::chrono::seconds(21);
        StreamSession trial(m_route, deadlyRequest(), context(), {});
        sent(trial.start(now));
        for (std::int64_t id = 1; id <= 3; ++id)
            trial.onEvent(id, now + Ms(1000) + Ms(30) * id);
        StreamSession next(m_route, deadlyRequest(), context(), {});
        sent(next.start(now + Ms(1100)));
    }

    // Guards against cutting sound streams that share a part with deadly requests.
    void streamThatHasBegunIsResumed()
    {
        StreamSession session(m_route, deadlyRequest(), context(), {});
        sent(session.start(now));
        for (std::int64_t id = 1; id <= 3; ++id)
            session.onEvent(id, now + Ms(30) * id);
        now += Ms(100);
        quarantinePart();
        sent(session.onAttemptEnded(AttemptResult::Lost, now));
    }

    // Guards against blaming a prompt for the failure of a server that had begun its answer.
    void serverThatFailsLaterIsNoCrash()
    {
        for (int i = 0; i < 3; ++i) {
            StreamSession session(m_route, deadlyRequest(), context(), {});
            sent(session.start(now));
            for (std::int64_t id = 1; id <= 3; ++id)
                session.onEvent(id, now);
            sent(session.onAttemptEnded(AttemptResult::Lost, now));
            now += Ms(1000);
        }
        CPPUNIT_ASSERT(quarantinedParts.empty());
    }

    void invalidAnswerIsNoCrash()
    {
        for (int i = 0; i < 3; ++i) {
            StreamSession session(m_route, deadlyRequest(), context(), {});
            sent(session.start(now));
            sent(session.onAttemptEnded(AttemptResult::Invalid, now));
            now += Ms(1000);
        }
        CPPUNIT_ASSERT(quarantinedParts.empty());
    }

    // Guards against prompts that are refused because sound servers were silent for a second.
    void pauseOfASoundServerIsNoCrash()
    {
        for (int i = 0; i < 3; ++i)
            silencePrompt();
        StreamSession next(m_route, deadlyRequest(), context(), {});
        sent(next.start(now + Ms(200)));
    }

    // A server that crashes may close no connection, and nobody else asks it.
    void serverThatStaysSilentIsACrash()
    {
        for (int i = 0; i < 2; ++i)
            silencePrompt();
        now += SuspectedCrashes::maxSoundSilence + Ms(120);
        const auto due = suspectedCrashes.takeDueProbes(servers, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), due.size());
        for (const BackendState &server : due)
            suspectedCrashes.recordProbed(server.info, now);
        StreamSession next(m_route, deadlyRequest(), context(), {});
        CPPUNIT_ASSERT_EQUAL(503, refused(next.start(now)).status);
    }

    void resetOfASilentServerIsACrash()
    {
        for (int i = 0; i < 2; ++i) {
            useUpRetries();
            StreamSession session(m_route, deadlyRequest(), context(), probed);
            sent(place(session, session.start(now)));
            now += Ms(1000);
            silence(session);
            session.onAttemptEnded(AttemptResult::Lost, now + Ms(300));
        }
        StreamSession next(m_route, deadlyRequest(), context(), {});
        CPPUNIT_ASSERT_EQUAL(503, refused(next.start(now + Ms(400))).status);
    }

    // Guards against a crash that does not count because its server was silent before.
    void serverThatCrashesAfterAPauseIsACrash()
    {
        for (int i = 0; i < 2; ++i) {
            useUpRetries();
            StreamSession session(m_route, deadlyRequest(), context(), probed);
            sent(place(session, session.start(now)));
            now += Ms(1000);
            silence(session);
            session.onPartialEvent(now += Ms(800));
            session.onAttemptEnded(AttemptResult::Lost, now += Ms(300));
        }
        StreamSession next(m_route, deadlyRequest(), context(), {});
        CPPUNIT_ASSERT_EQUAL(503, refused(next.start(now + Ms(100))).status);
    }

    // Guards against a trial that crashes one server after the other.
    void trialIsSentOnce()
    {
        quarantine.setHooks({nullptr, nullptr, nullptr, [](std::string_view) { return true; }});
        quarantinePart();
        now += std::chrono::seconds(21);
        StreamSession session(m_route, deadlyRequest(), context(), {});
        sent(session.start(now));
        const auto action = session.onAttemptEnded(AttemptResult::Lost, now + Ms(1000));
        CPPUNIT_ASSERT_EQUAL(502, refused(action).status);
    }

    void trialThatDidNotRunIsSentAgain()
    {
        quarantine.setHooks({nullptr, nullptr, nullptr, [](std::string_view) { return true; }});
        quarantinePart();
        now += std::chrono::seconds(21);
        StreamSession session(m_route, deadlyRequest(), context(), {});
        sent(session.start(now));
        sent(session.onAttemptEnded(AttemptResult::NotRun, now));
    }

    // Servers of a zone lose power, three at a time; at one of them a prompt is processed.
    void silentLossOfAZoneAccusesNoPrompt()
    {
        for (int loss = 0; loss < 2; ++loss) {
            std::deque<StreamSession> streams;
            for (int i = 0; i < 3; ++i)
                startStream(streams.emplace_back(m_route, request({"other"}), context(), probed));
            now += Ms(500);
            StreamSession prompt(m_route, deadlyRequest(), context(), probed);
            sent(place(prompt, prompt.start(now)));
            now += Ms(500);
            for (StreamSession &stream : streams)
                silence(stream);
            silence(prompt);
            now += Ms(3000);
        }
        StreamSession next(m_route, deadlyRequest(), context(), {});
        sent(next.start(now));
    }

    void requestThatHasBegunAccusesNoPrompt()
    {
        StreamSession session(m_route, deadlyRequest(), context(), {});
        startStream(session);
        for (int i = 0; i < 3; ++i) {
            now += Ms(1000);
            sent(session.onAttemptEnded(AttemptResult::Lost, now));
        }
    }

    // Guards against a stream that is cut, or kept at a silent server, because of others' crashes.
    void silentStreamIsNotCutByAQuarantine()
    {
        StreamSession session(m_route, deadlyRequest(), context(), probed);
        sent(place(session, session.start(now)));
        session.onEvent(1, now);
        quarantinePart();
        now += Ms(300);
        CPPUNIT_ASSERT(sent(place(session, silence(session))).keepsLatest);
    }

    // Guards against ending a request whose server only paused, and against a second server that
    // gets a part which may have crashed the first one.
    void silentPromptWithAQuarantinedPartIsKeptAtItsServer()
    {
        StreamSession session(m_route, deadlyRequest(), context(), probed);
        sent(place(session, session.start(now)));
        quarantinePart();
        now += Ms(400);
        for (int probe = 0; probe < 2; ++probe) {
            CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(silence(session)));
            now = session.nextCheck();
        }
        for (std::int64_t id = 1; id <= 3; ++id)
            session.onEvent(id, now);
        CPPUNIT_ASSERT(
            quarantine.quarantinedSuspect(deadlyRequest().sharedPromptParts, now).empty());
    }

    // Guards against holding a caller for a server that its prompt has crashed.
    void silentPromptIsRefusedOnceItsServerHasCrashed()
    {
        StreamSession session(m_route, deadlyRequest(), context(), probed);
        sent(place(session, session.start(now)));
        quarantinePart();
        CPPUNIT_ASSERT_EQUAL(502, refused(silenceUntilGivenUp(session)).status);
    }

    // Guards against a trial that crashes one server after the other.
    void silentTrialIsNotSentAgain()
    {
        quarantine.setHooks({nullptr, nullptr, nullptr, [](std::string_view) { return true; }});
        quarantinePart();
        now += std::chrono::seconds(21);
        StreamSession session(m_route, deadlyRequest(), context(), probed);
        sent(place(session, session.start(now)));
        CPPUNIT_ASSERT_EQUAL(502, refused(silenceUntilGivenUp(session)).status);
    }

    // Guards against cutting a stream whose servers failed with their zone (inc8).
    void begunStreamIsNotEndedByAQuarantine()
    {
        StreamSession session(m_route, deadlyRequest(), context(), {});
        sent(session.start(now));
        sent(session.onAttemptEnded(AttemptResult::Lost, now));
        session.onEvent(1, now);
        quarantinePart();
        for (int i = 0; i < 3; ++i)
            sent(session.onAttemptEnded(AttemptResult::Lost, now += Ms(1000)));
    }

    // A part that crashes each server that begins to answer lets no event through (inc8).
    void lossAfterAnEventAccusesNoPrompt()
    {
        for (int i = 0; i < 3; ++i) {
            StreamSession session(m_route, deadlyRequest(), context(), {});
            sent(session.start(now));
            session.onEvent(1, now);
            sent(session.onAttemptEnded(AttemptResult::Lost, now));
            now += Ms(1000);
        }
        StreamSession next(m_route, deadlyRequest(), context(), {});
        sent(next.start(now));
    }

    void laterLossOfABegunStreamAccusesNoPrompt()
    {
        StreamSession session(m_route, deadlyRequest(), context(), {});
        sent(session.start(now));
        session.onEvent(1, now);
        for (int i = 0; i < 3; ++i)
            sent(session.onAttemptEnded(AttemptResult::Lost, now += Ms(1000)));
        StreamSession next(m_route, deadlyRequest(), context(), {});
        sent(next.start(now));
    }

    // Guards against a stream that is cut while its server is dark (inc7, mixed-527).
    void begunStreamMovesOnceItsServerHasCrashed()
    {
        StreamSession session(m_route, deadlyRequest(), context(), probed);
        sent(place(session, session.start(now)));
        session.onEvent(1, now);
        quarantinePart();
        now += Ms(300);
        CPPUNIT_ASSERT(sent(place(session, silence(session))).keepsLatest);
        sent(place(session, session.onAttemptEnded(AttemptResult::Lost, now += Ms(100))));
    }

    void requestWhoseServerDidNotCrashIsSentAgain()
    {
        StreamSession session(m_route, deadlyRequest(), context(), {});
        sent(session.start(now));
        quarantinePart();
        sent(session.onAttemptEnded(AttemptResult::Invalid, now += Ms(100)));
        const auto action = session.onAttemptEnded(AttemptResult::Lost, now + Ms(100));
        CPPUNIT_ASSERT_EQUAL(502, refused(action).status);
    }

    // Guards against accusing a prompt of the loss of a zone, later than its other servers failed.
    void promptKeptAtALostServerIsNoCrash()
    {
        for (int loss = 0; loss < 2; ++loss) {
            StreamSession session(m_route, deadlyRequest(), context(), probed);
            const BackendInfo lost = sent(place(session, session.start(now))).server.info;
            useUpRetries();
            now += Ms(400);
            failZone(lost, now);
            CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.check(now)));
            now = session.nextCheck();
            silence(session);
            session.onAttemptEnded(AttemptResult::Lost, now + Ms(200));
            now += Ms(10'000);
        }
        StreamSession next(m_route, deadlyRequest(), context(), {});
        sent(next.start(now));
    }

    // Guards against an answer that is dropped because its call could not be repeated.
    void callInProgressIsNotDroppedByAQuarantine()
    {
        const HttpRoute calls = route(CallKind::Idempotent);
        CallSession session(calls, deadlyRequest(), context());
        sent(session.start(now));
        quarantinePart();
        const TimePoint overdue = session.nextCheck();
        CPPUNIT_ASSERT(std::holds_alternative<KeepWaiting>(session.check(overdue)));
        CPPUNIT_ASSERT(std::holds_alternative<PassAnswer>(session.onAnswer(answer(200), overdue)));
    }

    void wholeAnswerClearsTheParts()
    {
        const HttpRoute calls = route(CallKind::Idempotent);
        for (int i = 0; i < 3; ++i) {
            CallSession lost(calls, deadlyRequest(), context());
            sent(lost.start(now));
            sent(lost.onAttemptEnded(AttemptResult::Lost, now));
            lost.onAnswer(answer(200), now += Ms(1000));
        }
        CPPUNIT_ASSERT(quarantinedParts.empty());
    }

    // Guards against streams that wait for a retry which a call took and did not use.
    void callKeptByAQuarantineTakesNoRetry()
    {
        const HttpRoute calls = route(CallKind::Idempotent);
        CallSession session(calls, deadlyRequest(), context());
        sent(session.start(now));
        quarantinePart();
        const TimePoint overdue = session.nextCheck();
        const double before = retryBudget.remaining("engine", overdue);
        session.check(overdue);
        CPPUNIT_ASSERT_EQUAL(before, retryBudget.remaining("engine", overdue));
    }

    // A server may keep telling a later start than its entry, and works all the same. Guards
    // against a pause of such a server that counts as a crash.
    void laterStartThanTheEntryIsNoCrashByItself()
    {
        StreamSession session(m_route, deadlyRequest(), context(), probed);
        const BackendInfo server = sent(place(session, session.start(now))).server.info;
        servers.recordReport(server.id, 2, now);
        servers.put(server, now);
        now += Ms(1000);
        silence(session);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), suspectedCrashes.size());
        StreamSession other(m_route, request({"other"}), context(), probed);
        other.start(now);
        ServerProbeResult report;
        report.serverId = server.id;
        report.startedAtMs = 2;
        other.onProbed(std::vector {report}, now + Ms(800));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), suspectedCrashes.size());
        CPPUNIT_ASSERT(!suspectedCrashes.hasCrashed(server));
    }

private:
    static constexpr StreamSession::EngineCapabilities probed {false, true, true, false};

    ForwardAction place(StreamSession &session, const ForwardAction &action) const
    {
        return std::holds_alternative<ProbeServers>(action) ? session.onProbed({}, now) : action;
    }

    void startStream(StreamSession &session) const
    {
        sent(place(session, session.start(now)));
        for (std::int64_t id = 1; id <= 3; ++id)
            session.onEvent(id, now);
    }

    // The server answers no probe. No other server may get the request.
    ForwardAction silenceUntilGivenUp(StreamSession &session)
    {
        const TimePoint latest = now + Ms(3000);
        while (now < latest) {
            now = session.nextCheck();
            ForwardAction action = session.check(now);
            if (std::holds_alternative<ProbeServers>(action))
                action = session.onProbed({}, now += Ms(120));
            if (!std::holds_alternative<KeepWaiting>(action))
                return action;
        }
        return KeepWaiting {};
    }

    // A server does not answer a probe while it processes the prompt.
    void silencePrompt()
    {
        StreamSession session(m_route, deadlyRequest(), context(), probed);
        sent(place(session, session.start(now)));
        now += Ms(1000);
        silence(session);
    }

    // The server does not answer the probe that the session sends.
    ForwardAction silence(StreamSession &session) const
    {
        const ForwardAction action = session.check(now);
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(action));
        return session.onProbed({}, now + Ms(120));
    }

    ForwardRequest request(std::vector<std::string> parts) const
    {
        ForwardRequest out = ForwardFixture::request();
        out.sharedPromptParts = std::move(parts);
        return out;
    }

    ForwardRequest deadlyRequest() const { return request({"first", "second"}); }

    void quarantinePart()
    {
        const std::vector<std::string> parts = {"first", "second"};
        quarantine.recordCrash("e1", parts, now - Ms(1000));
        quarantine.recordCrash("e2", parts, now);
    }

    const HttpRoute m_route = route(CallKind::Stream);
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantinedSessionTest);
