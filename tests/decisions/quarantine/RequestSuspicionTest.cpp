#include "foxtailring/decisions/quarantine/RequestSuspicion.h"

#include "sessions/ForwardFixture.h"

using namespace foxtailring;

class RequestSuspicionTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(RequestSuspicionTest);
    CPPUNIT_TEST(onlyAProvenCrashCounts);
    CPPUNIT_TEST(otherStartOfALostServerIsNoCrash);
    CPPUNIT_TEST(requestWithoutSuspectsIsNoTrial);
    CPPUNIT_TEST(endOfALeavingServerAccusesNobody);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    // Guards against a request that is refused because a server it used is silent for a moment.
    void onlyAProvenCrashCounts()
    {
        RequestSuspicion suspicion(request(), m_context);
        const BackendInfo server = info("a1", "a");
        suspicion.addUncertainServer(server);
        suspicion.recordSilence(server, now, now, now);
        CPPUNIT_ASSERT(!suspicion.hasCrashedServer());
        suspicion.recordReset(server, false, now);
        CPPUNIT_ASSERT(suspicion.hasCrashedServer());
    }

    // Guards against a request that is refused because of a crash under other requests.
    void otherStartOfALostServerIsNoCrash()
    {
        RequestSuspicion suspicion(request(), m_context);
        BackendInfo server = info("a1", "a");
        suspicion.addUncertainServer(server);
        server.startedAtMs = 2;
        suspicion.recordReset(server, false, now);
        CPPUNIT_ASSERT(!suspicion.hasCrashedServer());
    }

    void requestWithoutSuspectsIsNoTrial()
    {
        RequestSuspicion suspicion(request(), m_context);
        suspicion.admit(now);
        CPPUNIT_ASSERT(!suspicion.isTrial());
        CPPUNIT_ASSERT(suspicion.quarantinedSuspect(now).empty());
    }

    // Guards against reports and quarantines in planned restarts, where each server ends with
    // requests that it has not answered.
    void endOfALeavingServerAccusesNobody()
    {
        for (const bool isDraining : {true, false}) {
            BackendInfo server = info("a1", "a");
            server.isDraining = isDraining;
            servers.put(server, now);
            ForwardRequest sent = request();
            sent.sharedPromptParts = {"part"};
            RequestSuspicion(sent, m_context).recordReset(server, false, now);
            CPPUNIT_ASSERT_EQUAL(isDraining ? std::size_t(0) : std::size_t(1), quarantine.size());
        }
    }

private:
    const ForwardContext m_context = context();
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestSuspicionTest);
