#include "foxtailring/decisions/StreamSession.h"

#include "ForwardFixture.h"

using namespace foxtailring;

class StreamSessionTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(StreamSessionTest);
    CPPUNIT_TEST(copyIsInAnotherZone);
    CPPUNIT_TEST(lossGoesOnFromTheCopy);
    CPPUNIT_TEST(darkServerIsNoticedWithinTheAllowedPause);
    CPPUNIT_TEST(slowServerThatAnswersIsKept);
    CPPUNIT_TEST(eventsThatDoNotArriveShowALostConnection);
    CPPUNIT_TEST(runThatHasJustBegunIsNotInAReport);
    CPPUNIT_TEST(slowPromptIsNotSilence);
    CPPUNIT_TEST(stuckServerIsLeft);
    CPPUNIT_TEST(runIsPlacedByWhatServersAnswer);
    CPPUNIT_TEST(serverThatDoesNotAnswerIsNotChosen);
    CPPUNIT_TEST(promptInADarkZoneIsLeft);
    CPPUNIT_TEST(promptThatIsLostIsReadAnewAtOnce);
    CPPUNIT_TEST(copyAtALeavingServerIsNotUsed);
    CPPUNIT_TEST(missingCopyIsReadAnew);
    CPPUNIT_TEST(lostCopyIsReplaced);
    CPPUNIT_TEST(keeperBesideAFailureIsAsked);
    CPPUNIT_TEST(keeperThatStartedAnewHasNoCopy);
    CPPUNIT_TEST(serverThatStartedAnewHasNoRun);
    CPPUNIT_TEST(runThatCannotEndInTimeIsRefused);
    CPPUNIT_TEST(lostRunThatCannotEndInTimeIsCut);
    CPPUNIT_TEST(orderedCopyIsKeptAlive);
    CPPUNIT_TEST(failedCopyIsOrderedAgain);
    CPPUNIT_TEST(copyOfAnEarlierServerIsNotUsed);
    CPPUNIT_TEST(unusedCopyIsReleased);
    CPPUNIT_TEST(runThatDidNotStartHasNoCopy);
    CPPUNIT_TEST(eventsAreInOrder);
    CPPUNIT_TEST(begunStreamIsCutWhenNothingIsLeft);
    CPPUNIT_TEST(streamThatMayNotGoOnIsSentOnce);
    CPPUNIT_TEST(serviceThatCannotBeAskedIsWaitedFor);
    CPPUNIT_TEST(countsAtServersEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    // Guards against a copy that is lost together with its run.
    void copyIsInAnotherZone()
    {
        for (int round = 0; round < 20; ++round) {
            StreamSession session(m_route, request(), context(), {true, true, true});
            const ForwardAction first = started(session);
            CPPUNIT_ASSERT(sent(first).copyTo.has_value());
            CPPUNIT_ASSERT(sent(first).copyTo->info.availabilityZone
                           != sent(first).server.info.availabilityZone);
        }
    }

    void lossGoesOnFromTheCopy()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        const std::string copy = sent(started(session)).copyTo->info.id;
        session.onEvent(1, now + Ms(1000));
        session.onEvent(2, now + Ms(1030));
        const ForwardAction next = placed(
            session, session.onAttemptEnded(AttemptResult::Lost, now + Ms(1040)), now + Ms(1040));
        CPPUNIT_ASSERT_EQUAL(copy, sent(next).server.info.id);
        CPPUNIT_ASSERT(sent(next).fromCopy);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), *sent(next).lastEventId);
    }

    // A server that goes dark sends no reset. Guards against a pause longer than the route allows.
    void darkServerIsNoticedWithinTheAllowedPause()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        started(session);
        const TimePoint last = tenEvents(session);
        const TimePoint probedAt = session.nextCheck();
        const auto probe = std::get<ProbeServers>(session.check(probedAt));
        CPPUNIT_ASSERT(probe.useNewConnections);
        const TimePoint unanswered = probedAt + probe.timeout;
        CPPUNIT_ASSERT(unanswered <= last + Ms(350));
        CPPUNIT_ASSERT(sent(session.onProbed({}, unanswered)).fromCopy);
    }

    // A prompt that is read beside a stream makes its events ten times slower. Guards against
    // leaving a server that works.
    void slowServerThatAnswersIsKept()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        const std::string id = sent(started(session)).server.info.id;
        TimePoint at = tenEvents(session) + Ms(150);
        for (; at < now + Ms(2500); at += Ms(200)) {
            if (std::holds_alternative<ProbeServers>(session.check(at)))
                CPPUNIT_ASSERT(isWaiting(session.onProbed(report(id, 10), at + Ms(20))));
        }
    }

    // Guards against a stream on a connection that lost its other end while the server works on.
    void eventsThatDoNotArriveShowALostConnection()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        const std::string id = sent(started(session)).server.info.id;
        const TimePoint probedAt = tenEvents(session) + Ms(300);
        session.check(probedAt);
        CPPUNIT_ASSERT(sent(session.onProbed(report(id, 14), probedAt)).fromCopy);
    }

    // Reports are a few hundred ms old. Guards against taking a run that has just begun for lost.
    void runThatHasJustBegunIsNotInAReport()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        const std::string id = sent(started(session)).server.info.id;
        session.onEvent(1, now + Ms(1000));
        const TimePoint probedAt = session.nextCheck();
        session.check(probedAt);
        std::vector<ServerProbeResult> old = report(id, 0);
        old.front().hasRun = false;
        CPPUNIT_ASSERT(isWaiting(session.onProbed(old, probedAt)));
    }

    // Guards against taking an engine that reads a long prompt for one that is dark.
    void slowPromptIsNotSilence()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        const std::string id = sent(started(session)).server.info.id;
        for (Ms age(0); age < Ms(3000); age += Ms(100)) {
            const ForwardAction action = session.check(now + age);
            CPPUNIT_ASSERT(!std::holds_alternative<SendAttempt>(action));
            if (std::holds_alternative<ProbeServers>(action))
                session.onProbed(report(id, 0), now + age);
        }
    }

    // A stuck server answers questions and serves nothing.
    void stuckServerIsLeft()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        latency.recordFirstEvent("engine", 8000, Ms(1000));
        started(session);
        const ForwardAction next = session.check(now + Ms(3500));
        CPPUNIT_ASSERT(isAttempt(placed(session, next, now + Ms(3500))));
    }

    // Several processes place runs on the same servers. Guards against a prompt that waits behind
    // one of another process while other servers are idle.
    void runIsPlacedByWhatServersAnswer()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        const auto probe = std::get<ProbeServers>(session.start(now));
        CPPUNIT_ASSERT(probe.servers.size() > 1);
        std::vector<ServerProbeResult> reports;
        for (const BackendState &server : probe.servers) {
            reports.push_back({server.info.id, {}, false, 0});
            reports.back().load.prefilling = 1;
        }
        reports.back().load.prefilling = 0;
        const std::string idle = reports.back().serverId;
        CPPUNIT_ASSERT_EQUAL(idle, sent(session.onProbed(reports, now)).server.info.id);
    }

    // Guards against placing a run on a server that does not answer.
    void serverThatDoesNotAnswerIsNotChosen()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        const auto probe = std::get<ProbeServers>(session.start(now));
        const ForwardAction first = session.onProbed({}, now);
        for (const BackendState &server : probe.servers)
            CPPUNIT_ASSERT(server.info.id != sent(first).server.info.id);
    }

    // Its neighbours fell silent while it read a prompt, which sends nothing. Guards against
    // waiting for a first event that cannot come in time any more.
    void promptInADarkZoneIsLeft()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        const BackendState server = sent(started(session)).server;
        for (const char *number : {"1", "2", "3"}) {
            const std::string id = server.info.availabilityZone + number;
            servers.put(info(id, server.info.availabilityZone), now);
            if (id != server.info.id)
                servers.recordFailure(id, now + Ms(400));
        }
        const ForwardAction next = session.check(now + Ms(500));
        CPPUNIT_ASSERT(isAttempt(placed(session, next, now + Ms(500))));
    }

    // The copy begins with the output. Guards against asking for one that cannot be there.
    void promptThatIsLostIsReadAnewAtOnce()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        started(session);
        CPPUNIT_ASSERT(
            !sent(placed(session, session.onAttemptEnded(AttemptResult::Lost, now), now)).fromCopy);
    }

    // A server takes no new work some seconds after it said that it leaves. Guards against a run
    // that goes on there (planoteca-norte hunt-17c6-39, rule DRAIN).
    void copyAtALeavingServerIsNotUsed()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        BackendInfo copy = sent(started(session)).copyTo->info;
        session.onEvent(1, now);
        copy.isDraining = true;
        servers.put(copy, now);
        const ForwardAction next =
            placed(session, session.onAttemptEnded(AttemptResult::Lost, now), now);
        CPPUNIT_ASSERT(!sent(next).fromCopy);
        CPPUNIT_ASSERT(sent(next).server.info.id != copy.id);
    }

    void missingCopyIsReadAnew()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        started(session);
        session.onEvent(1, now);
        CPPUNIT_ASSERT(
            sent(placed(session, session.onAttemptEnded(AttemptResult::Lost, now), now)).fromCopy);
        const ForwardAction next =
            placed(session, session.onAttemptEnded(AttemptResult::NotRun, now), now);
        CPPUNIT_ASSERT(!sent(next).fromCopy);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), *sent(next).lastEventId);
    }

    // A run of several seconds outlives the server that keeps its copy. Guards against reading its
    // prompt anew when its own server is lost next (planoteca-norte trouble-2, 6 of 16 late
    // streams).
    void lostCopyIsReplaced()
    {
        StreamSession session(m_route, request(), context(), copyingEngines);
        const SendAttempt first = withoutCopy(session);
        const CopyRun order = nextOrder(session);
        CPPUNIT_ASSERT_EQUAL(first.server.info.id, order.from.info.id);
        CPPUNIT_ASSERT(order.to.info.id != first.copyTo->info.id);
        CPPUNIT_ASSERT(order.to.info.availabilityZone != first.server.info.availabilityZone);
        session.onCopied(order, "h1", m_at);
        const ForwardAction next =
            placed(session, session.onAttemptEnded(AttemptResult::Lost, m_at), m_at);
        CPPUNIT_ASSERT_EQUAL(order.to.info.id, sent(next).server.info.id);
        CPPUNIT_ASSERT_EQUAL(std::string("h1"), sent(next).fromCopy.value().handle);
        CPPUNIT_ASSERT_EQUAL(first.server.info.address, sent(next).fromCopy->address);
    }

    // A zone fails, and this process has nothing under way at the server there that keeps a copy.
    // Guards against going on from a copy that is gone (planoteca-norte-large trouble-2, 6 late
    // streams).
    void keeperBesideAFailureIsAsked()
    {
        StreamSession session(m_route, request(), context(), copyingEngines);
        const BackendInfo holder = probedHolder(session);
        CPPUNIT_ASSERT(isWaiting(session.onProbed({}, m_at)));
        const CopyRun order = nextOrder(session);
        CPPUNIT_ASSERT(order.to.info.availabilityZone != holder.availabilityZone);
    }

    void keeperThatStartedAnewHasNoCopy()
    {
        StreamSession session(m_route, request(), context(), copyingEngines);
        const BackendInfo holder = probedHolder(session);
        std::vector<ServerProbeResult> answer {{holder.id, {}, false, 0}};
        answer.front().startedAtMs = holder.startedAtMs + 1;
        CPPUNIT_ASSERT(isWaiting(session.onProbed(answer, m_at)));
        CPPUNIT_ASSERT(nextOrder(session).to.info.id != holder.id);
    }

    // Guards against waiting for a run that a restart has ended.
    void serverThatStartedAnewHasNoRun()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        const std::string id = sent(started(session)).server.info.id;
        const TimePoint probedAt = now + Ms(450);
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(session.check(probedAt)));
        std::vector<ServerProbeResult> answer {{id, {}, false, 0}};
        answer.front().startedAtMs = 99;
        CPPUNIT_ASSERT(isAttempt(placed(session, session.onProbed(answer, probedAt), probedAt)));
    }

    // Callers whose VM lost power come back near their deadline. Guards against prompts that are
    // read for nothing and delay others (planoteca-norte-large trouble-2: 113 of 131 failed).
    void runThatCannotEndInTimeIsRefused()
    {
        learnLatency();
        for (const auto &[patience, isServed] :
             {std::pair(Ms(400), false), std::pair(Ms(1200), false), std::pair(Ms(4500), true)}) {
            ForwardRequest late = request();
            late.callerTimeout = patience;
            StreamSession session(m_route, late, context(), copyingEngines);
            const ForwardAction first = started(session);
            CPPUNIT_ASSERT_EQUAL(isServed, isAttempt(first));
            if (!isServed)
                CPPUNIT_ASSERT_EQUAL(503, refused(first).status);
        }
    }

    // Its caller has part of the answer. Guards against holding it to the deadline.
    void lostRunThatCannotEndInTimeIsCut()
    {
        learnLatency();
        StreamSession session(m_route, request(), context(), {});
        started(session);
        session.onEvent(1, now + Ms(4400));
        const TimePoint lostAt = now + Ms(4500);
        const ForwardAction next = session.onAttemptEnded(AttemptResult::Lost, lostAt);
        CPPUNIT_ASSERT(std::holds_alternative<AbortAnswer>(next));
    }

    // Engines drop a copy that is neither used nor ordered again.
    void orderedCopyIsKeptAlive()
    {
        StreamSession session(m_route, request(), context(), copyingEngines);
        withoutCopy(session);
        const CopyRun order = nextOrder(session);
        const TimePoint orderedAt = m_at;
        session.onCopied(order, "h1", m_at);
        CPPUNIT_ASSERT_EQUAL(order.to.info.id, nextOrder(session).to.info.id);
        CPPUNIT_ASSERT(m_at >= orderedAt + Ms(1500) && m_at <= orderedAt + Ms(3000));
    }

    void failedCopyIsOrderedAgain()
    {
        StreamSession session(m_route, request(), context(), copyingEngines);
        withoutCopy(session);
        const CopyRun order = nextOrder(session);
        const TimePoint orderedAt = m_at;
        session.onCopied(order, std::nullopt, m_at);
        nextOrder(session);
        CPPUNIT_ASSERT(m_at >= orderedAt + Ms(900));
    }

    // Guards against going on from the memory of a run that another one has replaced.
    void copyOfAnEarlierServerIsNotUsed()
    {
        StreamSession session(m_route, request(), context(), copyingEngines);
        withoutCopy(session);
        const CopyRun order = nextOrder(session);
        placed(session, session.onAttemptEnded(AttemptResult::Lost, m_at), m_at);
        session.onCopied(order, "h1", m_at + Ms(10));
        session.onEvent(m_event, m_at + Ms(900));
        const TimePoint lostAt = m_at + Ms(910);
        const ForwardAction next =
            placed(session, session.onAttemptEnded(AttemptResult::Lost, lostAt), lostAt);
        CPPUNIT_ASSERT(sent(next).fromCopy.value().handle.empty());
    }

    // Guards against slots that engines keep for runs that have ended (planoteca-norte trouble-2).
    void unusedCopyIsReleased()
    {
        {
            StreamSession session(m_route, request(), context(), copyingEngines);
            withoutCopy(session);
            session.onCopied(nextOrder(session), "h1", m_at);
            session.onCopied(nextOrder(session), "h1", m_at);
            CPPUNIT_ASSERT(released.empty());
            session.onFinished(m_at);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), released.size());
        StreamSession session(m_route, request(), context(), copyingEngines);
        withoutCopy(session);
        session.onCopied(nextOrder(session), "h2", m_at);
        placed(session, session.onAttemptEnded(AttemptResult::Lost, m_at), m_at);
        session.onFinished(m_at);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), released.size());
    }

    // Guards against asking one server after the other for a copy that was never made
    // (planoteca-norte quiet-1, journal 6c434406).
    void runThatDidNotStartHasNoCopy()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        started(session);
        CPPUNIT_ASSERT(
            !sent(placed(session, session.onAttemptEnded(AttemptResult::NotRun, now), now))
                 .fromCopy);
        CPPUNIT_ASSERT(
            !sent(placed(session, session.onAttemptEnded(AttemptResult::NotSent, now), now))
                 .fromCopy);
    }

    // Guards against a missing or a repeated event where two runs are joined.
    void eventsAreInOrder()
    {
        StreamSession session(m_route, request(), context(), {true, true, true});
        started(session);
        CPPUNIT_ASSERT(session.onEvent(1, now) == EventVerdict::Next);
        CPPUNIT_ASSERT(session.onEvent(2, now) == EventVerdict::Next);
        CPPUNIT_ASSERT(session.onEvent(2, now) == EventVerdict::Duplicate);
        CPPUNIT_ASSERT(session.onEvent(4, now) == EventVerdict::Gap);
        CPPUNIT_ASSERT(session.onEvent(3, now) == EventVerdict::Next);
    }

    void begunStreamIsCutWhenNothingIsLeft()
    {
        HttpRoute once = m_route;
        once.isResumable = false;
        StreamSession session(once, request(), context(), {true, true, true});
        started(session);
        session.onEvent(1, now);
        const ForwardAction next =
            placed(session, session.onAttemptEnded(AttemptResult::Lost, now), now);
        CPPUNIT_ASSERT(std::holds_alternative<AbortAnswer>(next));
    }

    // Guards against a second run of a stream that may not be repeated.
    void streamThatMayNotGoOnIsSentOnce()
    {
        HttpRoute once = m_route;
        once.isResumable = false;
        StreamSession session(once, request(), context(), {true, true, true});
        CPPUNIT_ASSERT(!sent(started(session)).copyTo);
        CPPUNIT_ASSERT_EQUAL(
            502,
            refused(placed(session, session.onAttemptEnded(AttemptResult::Lost, now), now)).status);
    }

    // Guards against questions to a plain service, which answers none and would seem dark.
    void serviceThatCannotBeAskedIsWaitedFor()
    {
        StreamSession session(m_route, request(), context(), {});
        CPPUNIT_ASSERT(isAttempt(session.start(now)));
        session.onEvent(1, now + Ms(500));
        CPPUNIT_ASSERT(isWaiting(session.check(now + Ms(1000))));
        CPPUNIT_ASSERT(session.nextCheck() > now + Ms(1000));
        CPPUNIT_ASSERT(isAttempt(session.check(now + Ms(3000))));
    }

    // Guards against servers that seem loaded for ever by requests that have ended.
    void countsAtServersEnd()
    {
        {
            StreamSession session(m_route, request(), context(), {true, true, true});
            started(session);
            placed(session, session.onAttemptEnded(AttemptResult::Lost, now), now);
        }
        for (const BackendState &server : servers.candidates("engine", now)) {
            CPPUNIT_ASSERT_EQUAL(0U, server.inFlight);
            CPPUNIT_ASSERT_EQUAL(0U, server.copies);
        }
    }

private:
    static constexpr StreamSession::EngineCapabilities copyingEngines {true, true, true, true};

    // A run that makes events and has lost the server that kept its copy.
    SendAttempt withoutCopy(StreamSession &session)
    {
        SendAttempt first = sent(started(session));
        m_event = 1;
        m_at = now + Ms(1000);
        session.onEvent(m_event++, m_at);
        servers.remove(first.copyTo->info.id, m_at);
        return first;
    }

    // Engines that read 8,000 tokens in a second and make an event in 30 ms.
    void learnLatency()
    {
        latency.recordFirstEvent("engine", 8000, Ms(1000));
        latency.recordEventInterval("engine", Ms(30));
    }

    // A run whose copy lies in a zone where a server fails, up to the question that follows.
    BackendInfo probedHolder(StreamSession &session)
    {
        BackendInfo holder = sent(started(session)).copyTo->info;
        m_event = 1;
        m_at = now + Ms(1000);
        session.onEvent(m_event++, m_at);
        const std::string other = holder.availabilityZone + (holder.id.ends_with('1') ? "2" : "1");
        servers.recordFailure(other, m_at);
        ForwardAction action = KeepWaiting {};
        while (isWaiting(action) && m_at < now + Ms(3000)) {
            m_at += Ms(30);
            session.onEvent(m_event++, m_at);
            action = session.check(m_at);
        }
        const ProbeServers probe = std::get<ProbeServers>(action);
        CPPUNIT_ASSERT_EQUAL(holder.id, probe.servers.front().info.id);
        return holder;
    }

    // Goes on in the rhythm of an engine until the session wants something.
    CopyRun nextOrder(StreamSession &session)
    {
        ForwardAction action = KeepWaiting {};
        const TimePoint limit = m_at + Ms(5000);
        while (isWaiting(action) && m_at < limit) {
            m_at += Ms(30);
            session.onEvent(m_event++, m_at);
            action = session.check(m_at);
        }
        CPPUNIT_ASSERT(std::holds_alternative<CopyRun>(action));
        return std::get<CopyRun>(action);
    }

    // Lets the servers that a placement asks answer that they are idle.
    static ForwardAction placed(StreamSession &session, const ForwardAction &action, TimePoint at)
    {
        const auto *probe = std::get_if<ProbeServers>(&action);
        if (!probe)
            return action;
        std::vector<ServerProbeResult> reports;
        for (const BackendState &server : probe->servers)
            reports.push_back({server.info.id, {}, false, 0});
        return session.onProbed(reports, at);
    }

    ForwardAction started(StreamSession &session)
    {
        return placed(session, session.start(now), now);
    }

    // Ten events in the rhythm of an engine with nothing else to do; returns the time of the last.
    TimePoint tenEvents(StreamSession &session)
    {
        TimePoint at = now + Ms(1000);
        for (std::int64_t id = 1; id <= 10; ++id)
            session.onEvent(id, at += Ms(30));
        return at;
    }

    static std::vector<ServerProbeResult> report(const std::string &id, std::int64_t events)
    {
        return {{id, {}, true, events}};
    }

    static bool isWaiting(const ForwardAction &action)
    {
        return std::holds_alternative<KeepWaiting>(action);
    }

    static bool isAttempt(const ForwardAction &action)
    {
        return std::holds_alternative<SendAttempt>(action);
    }

    const HttpRoute m_route = route(CallKind::Stream);
    TimePoint m_at;
    std::int64_t m_event = 1; ///< the next one
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamSessionTest);
