#include "foxtailring/decisions/placement/PlacementRequest.h"
#include "foxtailring/decisions/sessions/StreamSession.h"

#include "sessions/ForwardFixture.h"

#include <algorithm>

using namespace foxtailring;

// When a process fails, its callers reconnect to other processes, which do not know where the
// prompts were processed.
class PromptAffinityTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(PromptAffinityTest);
    CPPUNIT_TEST(processesAgreeOnAffinityServers);
    CPPUNIT_TEST(promptsAreSpread);
    CPPUNIT_TEST(failedAffinityServersAreAvoided);
    CPPUNIT_TEST(reconnectingCallerIsSentToItsPrompt);
    CPPUNIT_TEST(foundPromptIsServedNearTheDeadline);
    CPPUNIT_TEST(missingPromptIsPlacedByLoad);
    CPPUNIT_TEST(newCallerTriggersNoPromptProbe);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (int zone = 0; zone < zones; ++zone) {
            for (int number = 0; number < serversInZone; ++number) {
                servers.put(server(zone, number), now);
                // The other process does not know some servers yet.
                if (number > 0)
                    m_otherTable.put(server(zone, number), now);
            }
        }
    }

    // Guards against processing a prompt again although an engine has it in memory, which delays
    // the first event and the other runs of the server that processes it.
    void processesAgreeOnAffinityServers()
    {
        constexpr int prompts = 200;
        int known = 0;
        for (int prompt = 0; prompt < prompts; ++prompt) {
            const std::string id = "p" + std::to_string(prompt);
            const std::string chosen = place(id);
            const auto affinityServers = m_otherPlacer.promptAffinityServers("engine", id, now);
            known += std::count(affinityServers.begin(), affinityServers.end(), chosen) > 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT(known >= prompts * 85 / 100);
    }

    // Guards against an affinity that concentrates the load on a few engines.
    void promptsAreSpread()
    {
        for (int prompt = 0; prompt < zones * serversInZone; ++prompt)
            servers.startWork(place("p" + std::to_string(prompt)));
        for (const BackendState &one : servers.candidates("engine", now))
            CPPUNIT_ASSERT(one.inFlight <= 3);
    }

    // Guards against sending a run to a failed server because its prompt prefers that one.
    void failedAffinityServersAreAvoided()
    {
        const auto affinityServers = placer.promptAffinityServers("engine", "p1", now);
        for (const std::string &id : affinityServers)
            servers.recordFailure(id, now);
        CPPUNIT_ASSERT(std::count(affinityServers.begin(), affinityServers.end(), place("p1"))
                       == 0);
    }

    void reconnectingCallerIsSentToItsPrompt()
    {
        StreamSession session(m_route, reconnecting(), context(), capabilities);
        const auto probe = std::get<ProbeServers>(session.start(now));
        CPPUNIT_ASSERT(probe.subject == ProbeServers::Subject::Prompt);
        const std::string holder = probe.servers.back().info.id;
        const ForwardAction next = session.onProbed(answers(probe, holder), now);
        CPPUNIT_ASSERT_EQUAL(holder, sent(next).server.info.id);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(40), sent(next).lastEventId.value());
    }

    // Guards against refusing a run of which only the last events are missing.
    void foundPromptIsServedNearTheDeadline()
    {
        latency.recordFirstEvent("engine", 8000, Ms(1000));
        latency.recordEventInterval("engine", Ms(30));
        ForwardRequest late = reconnecting();
        late.callerTimeout = Ms(500);
        StreamSession session(m_route, late, context(), capabilities);
        const auto probe = std::get<ProbeServers>(session.start(now));
        const std::string holder = probe.servers.front().info.id;
        CPPUNIT_ASSERT(
            std::holds_alternative<SendAttempt>(session.onProbed(answers(probe, holder), now)));
        StreamSession other(m_route, late, context(), capabilities);
        const auto again = std::get<ProbeServers>(other.start(now));
        CPPUNIT_ASSERT_EQUAL(503, refused(other.onProbed(answers(again, ""), now)).status);
    }

    void missingPromptIsPlacedByLoad()
    {
        StreamSession session(m_route, reconnecting(), context(), capabilities);
        const auto probe = std::get<ProbeServers>(session.start(now));
        const auto load = std::get<ProbeServers>(session.onProbed(answers(probe, ""), now));
        CPPUNIT_ASSERT(load.subject == ProbeServers::Subject::Load);
        sent(session.onProbed(answers(load, ""), now));
    }

    // Guards against probing engines for the prompt of each new stream.
    void newCallerTriggersNoPromptProbe()
    {
        StreamSession session(m_route, request(), context(), capabilities);
        CPPUNIT_ASSERT(std::get<ProbeServers>(session.start(now)).subject
                       == ProbeServers::Subject::Load);
    }

private:
    static constexpr int zones = 6;
    static constexpr int serversInZone = 14;
    static constexpr StreamSession::EngineCapabilities capabilities {true, true, true, true};

    static BackendInfo server(int zone, int number)
    {
        const std::string name(1, static_cast<char>('a' + zone));
        return info(name + std::to_string(number), name);
    }

    // Server that a run with this prompt is sent to if all engines are idle.
    std::string place(const std::string &prompt)
    {
        const auto affinityServers = placer.promptAffinityServers("engine", prompt, now);
        PlacementRequest request;
        request.service = "engine";
        request.affinityServers = affinityServers;
        return placer.runCandidates(request, 4, now, random).front().info.id;
    }

    ForwardRequest reconnecting() const
    {
        ForwardRequest one = request();
        one.lastEventId = 40;
        return one;
    }

    static std::vector<ServerProbeResult> answers(const ProbeServers &probe,
                                                  const std::string &holder)
    {
        std::vector<ServerProbeResult> reports;
        for (const BackendState &one : probe.servers) {
            reports.push_back({one.info.id, {}, false, 0});
            reports.back().hasPrompt = one.info.id == holder;
        }
        return reports;
    }

    const HttpRoute m_route = route(CallKind::Stream);
    BackendTable m_otherTable;
    BackendPlacer m_otherPlacer {m_otherTable, "b", {}, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptAffinityTest);
