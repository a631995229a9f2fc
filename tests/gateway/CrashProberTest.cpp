#include "CrashProber.h"
#include "GatewayPartsFixture.h"

using namespace foxtailring;

// What a gateway's own probes of a silent server prove.
class CrashProberTest : public GatewayPartsFixture
{
    CPPUNIT_TEST_SUITE(CrashProberTest);
    CPPUNIT_TEST(serverThatAnswersAgainIsNoCrash);
    CPPUNIT_TEST(serverThatStaysSilentIsACrash);
    CPPUNIT_TEST(crashInASoundZoneCounts);
    CPPUNIT_TEST(crashOfAWholeZoneIsKnown);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        GatewayPartsFixture::setUp();
        m_parts->suspectedCrashes.setHooks(
            {[box = m_outcomes](const BackendInfo &, CrashEvidence, const CrashVerdict &verdict) {
                 const bool isCommon = verdict.kind == CrashVerdict::Kind::Common;
                 box->put(isCommon ? "crash of the zone" : "crash");
             },
             [box = m_outcomes](const BackendInfo &, std::string_view sign) {
                 box->put(std::string(sign));
             }});
        m_prober.emplace(*m_parts);
    }

    void releaseUsers() override { m_prober.reset(); }

    // Guards against a prompt that is refused because nobody asked a server that had paused.
    void serverThatAnswersAgainIsNoCrash() { CPPUNIT_ASSERT_EQUAL(std::string("report"), probe()); }

    void serverThatStaysSilentIsACrash()
    {
        m_receivesProbes = true;
        CPPUNIT_ASSERT_EQUAL(std::string("crash"), probe());
    }

    void crashInASoundZoneCounts()
    {
        const std::vector<std::uint16_t> sound = {m_serverPorts[0], m_serverPorts[1]};
        CPPUNIT_ASSERT_EQUAL(std::string("crash"), reset(sound));
    }

    // Guards against a prompt that is accused of the loss of a zone of which this gateway saw one
    // server fail (inc8).
    void crashOfAWholeZoneIsKnown()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("crash of the zone"), reset({closedPort, closedPort + 1}));
    }

private:
    static constexpr std::uint16_t closedPort = 1;

    static BackendInfo server(const std::string &id, std::uint16_t port)
    {
        BackendInfo server;
        server.id = id;
        server.service = "engine";
        server.address = "127.0.0.1:" + std::to_string(port);
        server.startedAtMs = 1;
        return server;
    }

    // The connection to a server ends before its answer; \a peers are others in its zone.
    std::string reset(const std::vector<std::uint16_t> &peers)
    {
        m_parts->queue.post([this, peers] {
            const TimePoint now = m_parts->clock();
            for (const std::uint16_t port : peers)
                m_parts->servers.put(server("peer-" + std::to_string(port), port), now);
            const BackendInfo lost = server("lost", closedPort + 2);
            m_parts->servers.put(lost, now);
            m_parts->suspectedCrashes.recordReset(lost, m_promptParts, false, now);
        });
        return m_outcomes->take();
    }

    // The server has been silent for longer than a sound one may be.
    std::string probe()
    {
        m_parts->queue.post([this] {
            const BackendInfo suspected = server("a", m_serverPorts[0]);
            const TimePoint now = m_parts->clock();
            const TimePoint suspectedAt = now - 2 * SuspectedCrashes::maxSoundSilence;
            m_parts->servers.put(suspected, now);
            m_parts->suspectedCrashes.suspect(suspected, m_promptParts, suspectedAt, suspectedAt);
            m_prober->step(now);
        });
        return m_outcomes->take();
    }

    std::optional<CrashProber> m_prober;
    const std::vector<std::string> m_promptParts = {"shared", "deadly"};
    std::shared_ptr<Mailbox<std::string>> m_outcomes = std::make_shared<Mailbox<std::string>>();
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashProberTest);
