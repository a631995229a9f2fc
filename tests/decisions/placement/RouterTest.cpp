#include "foxtailring/decisions/placement/Router.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/placement/PrefixHints.h"
#include "foxtailring/decisions/servers/ServerTable.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace foxtailring;
using namespace std::chrono_literals;

class RouterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouterTest);
    CPPUNIT_TEST(lessLoadedServersGetMore);
    CPPUNIT_TEST(oldReportDoesNotAttractAll);
    CPPUNIT_TEST(ownWorkCountsAtOnce);
    CPPUNIT_TEST(excludedAndSuspectedServersAreNotChosen);
    CPPUNIT_TEST(otherRegionOnlyWhenNearOnesAreFull);
    CPPUNIT_TEST(resourceWeightKeepsWorkNear);
    CPPUNIT_TEST(prefixHintIsBounded);
    CPPUNIT_TEST(resumeWeighsLatencyAgainstResources);
    CPPUNIT_TEST(resumePrefersCachedPrefix);
    CPPUNIT_TEST(noCandidateIsAnError);
    CPPUNIT_TEST_SUITE_END();

    ServerTable m_table;
    PrefixHints m_hints;
    Router m_router {m_table, m_hints, Router::Settings {}};
    RandomSource m_random {7};
    const TimePoint m_now = TimePoint {} + 1h;
    std::vector<ListedServer> m_list;
    std::uint64_t m_sequence = 0;

    void add(const std::string &id, std::uint32_t running, const std::string &region = "r1",
             const std::string &zone = "z1", TimePoint at = TimePoint {} + 1h)
    {
        m_list.push_back(ListedServer {ServerInfo {id, "reader", id + ":1", region, zone}, false});
        m_table.applyVmList(m_list, at);
        LoadReport report;
        report.serverId = id;
        report.incarnation = 1;
        report.sequence = ++m_sequence;
        report.running = running;
        report.capacity = 10;
        m_table.applyReport(report, at);
    }

    RouteRequest request() const
    {
        RouteRequest made;
        made.service = "reader";
        made.region = "r1";
        made.zone = "z1";
        return made;
    }

    std::map<std::string, int> chooseMany(const RouteRequest &wanted, int times = 300)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < times; ++i)
            ++counts[m_router.choose(wanted, m_now, m_random).value().serverId];
        return counts;
    }

    std::string resumeServer(double latency, double resource, std::uint64_t cachedTokens = 0)
    {
        ResumeRequest resume;
        resume.route = request();
        resume.route.prefixHash = 9;
        resume.route.weights = CostWeights {latency, resource};
        resume.inputTokens = 2000;
        resume.cachedTokens = cachedTokens;
        resume.transferBytes = 40000;
        return m_router.chooseForResume(resume, m_now, m_random).value().serverId;
    }

public:
    // Guards against routing that ignores reported load.
    void lessLoadedServersGetMore()
    {
        add("busy", 9);
        add("idle", 0);
        add("half", 5);
        const auto counts = chooseMany(request());
        CPPUNIT_ASSERT(counts.at("idle") > counts.at("half"));
        CPPUNIT_ASSERT(!counts.contains("busy") || counts.at("half") > counts.at("busy"));
    }

    // Guards against herding: all entries send to the one server that an old report shows as idle.
    void oldReportDoesNotAttractAll()
    {
        add("old", 0, "r1", "z1", m_now - 20s);
        add("fresh", 3);
        add("fresh2", 1);
        const auto counts = chooseMany(request());
        CPPUNIT_ASSERT(counts.at("fresh2") > counts.at("old"));
    }

    // Guards against a burst that goes to one server before that server's next report.
    void ownWorkCountsAtOnce()
    {
        add("a", 0);
        add("b", 0);
        for (int i = 0; i < 8; ++i)
            m_table.startWork("a");
        CPPUNIT_ASSERT_EQUAL(300, chooseMany(request())["b"]);
        const std::string reason = m_router.choose(request(), m_now, m_random).value().reason;
        CPPUNIT_ASSERT(reason.find("same zone") != std::string::npos);
    }

    // Guards against retrying on the server that just failed.
    void excludedAndSuspectedServersAreNotChosen()
    {
        add("a", 0);
        add("b", 0);
        add("c", 9);
        m_table.markSuspected("b", m_now);
        RouteRequest wanted = request();
        wanted.excludedServerIds = {"a"};
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), chooseMany(wanted).size());
        CPPUNIT_ASSERT_EQUAL(std::string("c:1"),
                             m_router.choose(wanted, m_now, m_random).value().address);
    }

    // Guards against cross-region traffic, which is billed, while nearer servers have capacity, and
    // against queueing at full servers while others are idle.
    void otherRegionOnlyWhenNearOnesAreFull()
    {
        add("near", 9);
        add("zone", 0, "r1", "z2");
        add("far", 0, "r2", "z3");
        CPPUNIT_ASSERT_EQUAL(300, chooseMany(request())["near"]);
        m_table.startWork("near");
        CPPUNIT_ASSERT_EQUAL(300, chooseMany(request())["zone"]);
        m_table.markLost("zone", m_now);
        for (int i = 0; i < 15; ++i)
            m_table.startWork("near");
        CPPUNIT_ASSERT_EQUAL(300, chooseMany(request())["far"]);
    }

    // Guards against sending work to another region because of a short queue when the service
    // weighs cross-region traffic heavily.
    void resourceWeightKeepsWorkNear()
    {
        add("near", 15);
        add("far", 0, "r2", "z3");
        RouteRequest wanted = request();
        wanted.weights.resource = 3;
        CPPUNIT_ASSERT_EQUAL(300, chooseMany(wanted)["near"]);
        wanted.weights.resource = 0.2;
        CPPUNIT_ASSERT_EQUAL(300, chooseMany(wanted)["far"]);
    }

    // Guards against a popular prefix or a wrong hint that overloads one server.
    void prefixHintIsBounded()
    {
        add("hinted", 2);
        add("other", 1);
        add("third", 1);
        const std::uint64_t hash = 9;
        m_hints.record("hinted", std::span(&hash, 1), m_now);
        RouteRequest wanted = request();
        wanted.prefixHash = hash;
        CPPUNIT_ASSERT_EQUAL(300, chooseMany(wanted)["hinted"]);
        for (int i = 0; i < 3; ++i)
            m_table.startWork("hinted");
        CPPUNIT_ASSERT_EQUAL(0, chooseMany(wanted)["hinted"]);
    }

    // Guards against one fixed trade-off: a service that weighs latency resumes where it is
    // fastest, one that weighs resources where it is cheapest.
    void resumeWeighsLatencyAgainstResources()
    {
        add("near",
            10); // full: waits 0.5 s and prefills slower; the other transfers 40 kB between regions
        add("far", 0, "r2", "z3");
        CPPUNIT_ASSERT_EQUAL(std::string("far"), resumeServer(1, 0.2));
        CPPUNIT_ASSERT_EQUAL(std::string("near"), resumeServer(0.2, 1));
    }

    // Guards against a full prefill at an idle server while another one has the prefix cached.
    void resumePrefersCachedPrefix()
    {
        add("cold", 0);
        add("warm", 4);
        const std::uint64_t hash = 9;
        m_hints.record("warm", std::span(&hash, 1), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("warm"), resumeServer(1, 1, 1800));
    }

    // Guards against a crash or an invalid address when a service has no server.
    void noCandidateIsAnError()
    {
        CPPUNIT_ASSERT(m_router.choose(request(), m_now, m_random).error().code
                       == ErrorCode::Unavailable);
        CPPUNIT_ASSERT(!m_router.chooseForResume(ResumeRequest {}, m_now, m_random).isOk());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);
