#include "foxtailring/decisions/sessions/ServerSearch.h"

#include "foxtailring/decisions/placement/AdmittedPlacer.h"
#include "foxtailring/decisions/sessions/RunCopier.h"
#include "foxtailring/decisions/sessions/RunPlacement.h"
#include "foxtailring/decisions/sessions/RunProgress.h"

#include "ForwardFixture.h"

#include <algorithm>
#include <vector>

using namespace foxtailring;

class ServerSearchTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(ServerSearchTest);
    CPPUNIT_TEST(candidatesAreProbedForTheirLoad);
    CPPUNIT_TEST(serverWithoutAnAnswerIsTheLastChoice);
    CPPUNIT_TEST(reportOfALaterStartIsNoReasonToChoose);
    CPPUNIT_TEST(reportOfALaterStartIsNoReasonToChooseAfterItsHold);
    CPPUNIT_TEST(reportOfAnEarlierStartIsNoReasonToChoose);
    CPPUNIT_TEST(restartedServerIsChosenBeforeOneWithoutAnAnswer);
    CPPUNIT_TEST(engineThatReportsNothingIsChosenAtOnce);
    CPPUNIT_TEST(lostRunResumesFromItsCopyWithoutAProbe);
    CPPUNIT_TEST(copyHolderIsAskedBeforeAMove);
    CPPUNIT_TEST(silentCopyHolderGetsNoRun);
    CPPUNIT_TEST(copyHolderInAPauseGetsNoRun);
    CPPUNIT_TEST(copyHolderThatLeavesMeanwhileGetsNoRun);
    CPPUNIT_TEST(copyHolderWithALaterStartGetsNoRun);
    CPPUNIT_TEST(returningCallerIsSentToItsPrompt);
    CPPUNIT_TEST(leavingServerWithThePromptIsNotChosen);
    CPPUNIT_TEST(laterAttemptDoesNotLookForThePrompt);
    CPPUNIT_TEST(runThatCannotFinishIsNotPlaced);
    CPPUNIT_TEST(foundPromptTakesNoTime);
    CPPUNIT_TEST(searchWithoutServersFails);
    CPPUNIT_TEST(searchThatWasGivenUpIsNotActive);
    CPPUNIT_TEST(otherEnginesAreProbedIfTheFirstHaveNoRoom);
    CPPUNIT_TEST(engineWithRoomIsChosenBesideFullOnes);
    CPPUNIT_TEST(silentEnginesDoNotHideThatOthersAreFull);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    // Guards against placing by a load that other processes have changed since.
    void candidatesAreProbedForTheirLoad()
    {
        ServerSearch search = make(request());
        const ProbeServers probe = probeOf(search.start(false, now));
        CPPUNIT_ASSERT(probe.subject == ProbeServers::Subject::Load);
        CPPUNIT_ASSERT(probe.servers.size() > 1);
        CPPUNIT_ASSERT(search.isActive() && !search.isProbingPrompt());
        const std::string id = found(search.onProbed(reports(probe), now)).server.info.id;
        CPPUNIT_ASSERT(isAmong(probe.servers, id));
        CPPUNIT_ASSERT(!search.isActive());
    }

    // Guards against a run at a server that has crashed, and against a refusal when all reports
    // were lost.
    void serverWithoutAnAnswerIsTheLastChoice()
    {
        for (int round = 0; round < 20; ++round) {
            ServerSearch search = make(request());
            const ProbeServers probe = probeOf(search.start(false, now));
            std::vector<ServerProbeResult> answers = reports(probe);
            answers.resize(1);
            const std::string id = found(search.onProbed(answers, now)).server.info.id;
            CPPUNIT_ASSERT(id == answers.front().serverId || !isAmong(probe.servers, id));
            const ProbeServers unanswered = probeOf(search.start(false, now));
            CPPUNIT_ASSERT(
                !isAmong(unanswered.servers, found(search.onProbed({}, now)).server.info.id));
        }
        for (const char *id : {"a2", "b1", "b2", "c1", "c2"})
            sayLeaving(id);
        ServerSearch search = make(request());
        probeOf(search.start(false, now));
        CPPUNIT_ASSERT_EQUAL(std::string("a1"), found(search.onProbed({}, now)).server.info.id);
    }

    // Guards against requests to an address that another server has taken over: it reports that it
    // is idle, and each request that it refuses counts as a retry.
    void reportOfALaterStartIsNoReasonToChoose()
    {
        for (int round = 0; round < 20; ++round) {
            ServerSearch search = make(request());
            const std::vector<ServerProbeResult> answers =
                reports(probeOf(search.start(false, now)));
            const std::string later = answers.front().serverId;
            servers.recordReport(later, 100 + round, now);
            CPPUNIT_ASSERT(servers.server(later, now)->acceptsNewWork());
            CPPUNIT_ASSERT(found(search.onProbed(answers, now)).server.info.id != later);
        }
    }

    // As above, while the entry of the lost server is still listed: its restart is confirmed by the
    // second report and remembered for 3 s, the other server goes on reporting.
    void reportOfALaterStartIsNoReasonToChooseAfterItsHold()
    {
        const std::string later = "a1";
        servers.recordReport(later, 99, now);
        servers.recordReport(later, 99, now + std::chrono::seconds(1));
        const TimePoint afterHold = now + std::chrono::seconds(5);
        CPPUNIT_ASSERT_EQUAL(0, timesChosenOnReport(later, 99, afterHold));
    }

    // As above, for an entry whose address belongs to a server that started before.
    void reportOfAnEarlierStartIsNoReasonToChoose()
    {
        BackendInfo moved = info("a1", "a");
        moved.startedAtMs = 50;
        servers.put(moved, now);
        CPPUNIT_ASSERT_EQUAL(0, timesChosenOnReport("a1", 40, now));
    }

    // Guards against a run at a server that does not answer in place of one that has restarted and
    // whose entry is late, as while the store is away.
    void restartedServerIsChosenBeforeOneWithoutAnAnswer()
    {
        for (const char *id : {"a2", "b2", "c1", "c2"})
            sayLeaving(id);
        int lost = 0;
        for (int round = 0; round < 20; ++round) {
            ServerSearch search = make(request());
            probeOf(search.start(false, now));
            servers.recordReport("a1", 100 + round, now);
            CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
            const std::vector<ServerProbeResult> answers = {{"a1", {}, false, 0}};
            lost += found(search.onProbed(answers, now)).server.info.id != "a1" ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, lost);
    }

    void engineThatReportsNothingIsChosenAtOnce()
    {
        m_canBeProbed = false;
        ServerSearch search = make(request());
        found(search.start(false, now));
        giveCopy();
        CPPUNIT_ASSERT(found(search.start(true, now)).fromCopy);
    }

    void lostRunResumesFromItsCopyWithoutAProbe()
    {
        ServerSearch search = make(request());
        const std::string holder = giveCopy();
        const SendAttempt next = found(search.start(false, now));
        CPPUNIT_ASSERT_EQUAL(holder, next.server.info.id);
        CPPUNIT_ASSERT(next.fromCopy);
        CPPUNIT_ASSERT(!m_copier.holder());
    }

    // Guards against moving a run to a server that fell silent together with the current one.
    void copyHolderIsAskedBeforeAMove()
    {
        ServerSearch search = make(request());
        const std::string holder = giveCopy();
        const ProbeServers probe = probeOf(search.start(true, now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), probe.servers.size());
        CPPUNIT_ASSERT(probe.useNewConnections);
        CPPUNIT_ASSERT_EQUAL(holder, probe.servers.front().info.id);
        const SendAttempt next = found(search.onProbed(reports(probe), now));
        CPPUNIT_ASSERT_EQUAL(holder, next.server.info.id);
        CPPUNIT_ASSERT(next.fromCopy);
    }

    // The copy may be needed if nothing else takes the run.
    void silentCopyHolderGetsNoRun()
    {
        ServerSearch search = make(request());
        giveCopy();
        probeOf(search.start(true, now));
        const ProbeServers candidates = probeOf(search.onProbed({}, now));
        CPPUNIT_ASSERT(candidates.servers.size() > 1);
        CPPUNIT_ASSERT(m_copier.hasUsableCopy(now));
        CPPUNIT_ASSERT(!found(search.onProbed(reports(candidates), now)).fromCopy);
    }

    void copyHolderInAPauseGetsNoRun()
    {
        ServerSearch search = make(request());
        giveCopy();
        std::vector<ServerProbeResult> answers = reports(probeOf(search.start(true, now)));
        answers.front().isTurnedAway = true;
        CPPUNIT_ASSERT(probeOf(search.onProbed(answers, now)).servers.size() > 1);
    }

    // Guards against resuming from a copy that is of no use any more.
    void copyHolderThatLeavesMeanwhileGetsNoRun()
    {
        ServerSearch search = make(request());
        const std::string holder = giveCopy();
        const ProbeServers probe = probeOf(search.start(true, now));
        sayLeaving(holder);
        CPPUNIT_ASSERT(!isAmong(probeOf(search.onProbed(reports(probe), now)).servers, holder));
    }

    // Guards against resuming from a copy that was lost in a restart.
    void copyHolderWithALaterStartGetsNoRun()
    {
        ServerSearch search = make(request());
        const std::string holder = giveCopy();
        const ProbeServers probe = probeOf(search.start(true, now));
        servers.recordReport(holder, 99, now);
        CPPUNIT_ASSERT(probeOf(search.onProbed(reports(probe), now)).servers.size() > 1);
    }

    void returningCallerIsSentToItsPrompt()
    {
        ServerSearch search = make(returning());
        const ProbeServers probe = probeOf(search.start(false, now));
        CPPUNIT_ASSERT(probe.subject == ProbeServers::Subject::Prompt);
        CPPUNIT_ASSERT(search.isProbingPrompt());
        std::vector<ServerProbeResult> answers = reports(probe);
        answers.back().hasPrompt = true;
        CPPUNIT_ASSERT_EQUAL(answers.back().serverId,
                             found(search.onProbed(answers, now)).server.info.id);
    }

    void leavingServerWithThePromptIsNotChosen()
    {
        ServerSearch search = make(returning());
        std::vector<ServerProbeResult> answers = reports(probeOf(search.start(false, now)));
        answers.front().hasPrompt = true;
        sayLeaving(answers.front().serverId);
        const ProbeServers candidates = probeOf(search.onProbed(answers, now));
        CPPUNIT_ASSERT(candidates.subject == ProbeServers::Subject::Load);
        CPPUNIT_ASSERT(!isAmong(candidates.servers, answers.front().serverId));
    }

    // Guards against a probe for the prompt before each further attempt of the run.
    void laterAttemptDoesNotLookForThePrompt()
    {
        m_triedIds.emplace_back("a1");
        ServerSearch search = make(returning());
        const ProbeServers probe = probeOf(search.start(false, now));
        CPPUNIT_ASSERT(probe.subject == ProbeServers::Subject::Load);
        CPPUNIT_ASSERT(!isAmong(probe.servers, "a1"));
    }

    // Guards against processing a prompt that only delays other runs.
    void runThatCannotFinishIsNotPlaced()
    {
        const ForwardRequest one = request();
        m_affordableTokens = one.promptTokens - 1;
        ServerSearch search = make(one);
        const ServerSearch::Step step = search.start(false, now);
        CPPUNIT_ASSERT(std::get<ServerSearch::Failure>(step) == ServerSearch::Failure::NoTime);
        CPPUNIT_ASSERT(!search.isActive());
        giveCopy();
        CPPUNIT_ASSERT(found(search.start(false, now)).fromCopy);
    }

    // Guards against refusing a run of which only the last events are missing.
    void foundPromptTakesNoTime()
    {
        m_affordableTokens = 0;
        ServerSearch search = make(returning());
        std::vector<ServerProbeResult> answers = reports(probeOf(search.start(false, now)));
        answers.front().hasPrompt = true;
        found(search.onProbed(answers, now));
    }

    void searchWithoutServersFails()
    {
        for (const char *id : {"a1", "a2", "b1", "b2", "c1", "c2"})
            sayLeaving(id);
        ServerSearch search = make(request());
        const ServerSearch::Step step = search.start(false, now);
        CPPUNIT_ASSERT(std::get<ServerSearch::Failure>(step) == ServerSearch::Failure::NoServer);
    }

    // Guards against a candidate of an earlier search that counts as silent in the next one.
    void searchThatWasGivenUpIsNotActive()
    {
        ServerSearch search = make(request());
        probeOf(search.start(false, now));
        CPPUNIT_ASSERT(search.isActive());
        search.end();
        CPPUNIT_ASSERT(!search.isActive());
        CPPUNIT_ASSERT(m_placement.unresponsiveIds().empty());
    }

    // Too few slots for all. Guards against a refusal while other engines are free, and against
    // engines that are given more than they hold.
    void otherEnginesAreProbedIfTheFirstHaveNoRoom()
    {
        m_hasRoom = [](const ServerProbeResult &, TimePoint) { return false; };
        ServerSearch search = make(request());
        const ProbeServers first = probeOf(search.start(false, now));
        const ProbeServers second = probeOf(search.onProbed(reports(first), now));
        for (const BackendState &server : second.servers)
            CPPUNIT_ASSERT(!isAmong(first.servers, server.info.id));
        CPPUNIT_ASSERT(std::get<ServerSearch::Failure>(search.onProbed(reports(second), now))
                       == ServerSearch::Failure::NoRoom);
        search.setRounds(1);
        probeOf(search.start(false, now));
        CPPUNIT_ASSERT(std::get<ServerSearch::Failure>(search.onProbed(reports(first), now))
                       == ServerSearch::Failure::NoRoom);
    }

    void engineWithRoomIsChosenBesideFullOnes()
    {
        for (int round = 0; round < 20; ++round) {
            std::string free;
            m_hasRoom = [&free](const ServerProbeResult &report, TimePoint) {
                return report.serverId == free;
            };
            ServerSearch search = make(request());
            const ProbeServers probe = probeOf(search.start(false, now));
            free = probe.servers.back().info.id;
            CPPUNIT_ASSERT_EQUAL(free, found(search.onProbed(reports(probe), now)).server.info.id);
        }
    }

    // Guards against a run at an engine that does not answer because the others are full.
    void silentEnginesDoNotHideThatOthersAreFull()
    {
        m_hasRoom = [](const ServerProbeResult &, TimePoint) { return false; };
        ServerSearch search = make(request());
        search.setRounds(1);
        std::vector<ServerProbeResult> answers = reports(probeOf(search.start(false, now)));
        answers.resize(1);
        CPPUNIT_ASSERT(std::get<ServerSearch::Failure>(search.onProbed(answers, now))
                       == ServerSearch::Failure::NoRoom);
        probeOf(search.start(false, now));
        found(search.onProbed({}, now));
    }

private:
    ServerSearch make(const ForwardRequest &request)
    {
        m_request = request;
        return ServerSearch(
            m_request, m_placement, m_admittedPlacer, m_copier, m_canBeProbed,
            [this](std::uint64_t promptTokens, TimePoint) {
                return promptTokens <= m_affordableTokens;
            },
            m_hasRoom);
    }

    /// \brief The request of a caller that has a part of the answer.
    ForwardRequest returning() const
    {
        ForwardRequest one = request();
        one.lastEventId = 40;
        return one;
    }

    /// \brief A run at the server `a1` has sent an event. Returns the id of its copy's holder.
    std::string giveCopy()
    {
        SendAttempt attempt;
        attempt.server = *servers.server("a1", now);
        m_progress.start(false, now);
        m_copier.start(attempt, now);
        m_progress.recordEvent(now);
        return m_copier.holder().value().info.id;
    }

    static ProbeServers probeOf(const ServerSearch::Step &step)
    {
        CPPUNIT_ASSERT(std::holds_alternative<ProbeServers>(step));
        return std::get<ProbeServers>(step);
    }

    static SendAttempt found(const ServerSearch::Step &step)
    {
        CPPUNIT_ASSERT(std::holds_alternative<SendAttempt>(step));
        return std::get<SendAttempt>(step);
    }

    // Of 20 runs, those that are sent to \a id, whose address reports another start when it is
    // asked.
    int timesChosenOnReport(const std::string &id, std::int64_t startedAtMs, TimePoint at)
    {
        int chosen = 0;
        for (int round = 0; round < 20; ++round) {
            ServerSearch search = make(request());
            const ProbeServers probe = probeOf(search.start(false, at));
            if (!isAmong(probe.servers, id))
                continue;
            CPPUNIT_ASSERT(servers.server(id, at)->acceptsNewWork());
            servers.recordReport(id, startedAtMs, at);
            std::vector<ServerProbeResult> answers = reports(probe);
            for (ServerProbeResult &answer : answers)
                answer.startedAtMs = answer.serverId == id ? startedAtMs : 0;
            chosen += found(search.onProbed(answers, at)).server.info.id == id ? 1 : 0;
        }
        return chosen;
    }

    static std::vector<ServerProbeResult> reports(const ProbeServers &probe)
    {
        std::vector<ServerProbeResult> all;
        for (const BackendState &server : probe.servers)
            all.push_back({server.info.id, {}, false, 0});
        return all;
    }

    static bool isAmong(const std::vector<BackendState> &servers, const std::string &id)
    {
        return std::any_of(servers.begin(), servers.end(),
                           [&id](const BackendState &server) { return server.info.id == id; });
    }

    const HttpRoute m_route = route(CallKind::Stream);
    const ForwardContext m_context = context();
    const std::string m_service = "engine";
    std::vector<std::string> m_triedIds;
    ForwardRequest m_request;
    bool m_canBeProbed = true;
    std::uint64_t m_affordableTokens = 100'000;
    ServerSearch::RoomCheck m_hasRoom;
    RunPlacement m_placement {m_context, m_service, m_triedIds};
    AdmittedPlacer m_admittedPlacer {m_context, m_service};
    RunProgress m_progress {m_route};
    RunCopier m_copier {m_context, m_progress, m_placement, m_admittedPlacer, {true, true}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerSearchTest);
