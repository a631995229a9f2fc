#include "foxtailring/protocol/FindGeneration.h"
#include "foxtailring/protocol/GenerationRecord.h"
#include "foxtailring/protocol/LoadReport.h"
#include "foxtailring/protocol/WatchReports.h"
#include "foxtailring/transport/Http1Client.h"
#include "SidecarFixture.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class NodeTest : public SidecarFixture
{
    CPPUNIT_TEST_SUITE(NodeTest);
    CPPUNIT_TEST(reportsCarryLoadAndPrefixes);
    CPPUNIT_TEST(restartedEngineIsReadFromItsFirstEvent);
    CPPUNIT_TEST(drainReportsAtOnceAndLetsWorkEnd);
    CPPUNIT_TEST(drainLimitEndsTheWait);
    CPPUNIT_TEST(recordsAreFoundByAccountAndKey);
    CPPUNIT_TEST(adminPortAnswers);
    CPPUNIT_TEST(malformedBytesResetTheStream);
    CPPUNIT_TEST_SUITE_END();

    static SidecarSettings settings()
    {
        SidecarSettings settings;
        settings.requireConfig = false;
        settings.loadInterval = 20ms;
        settings.cacheEventsInterval = 20ms;
        settings.progressInterval = 20ms;
        return settings;
    }

    HttpResponse admin(const std::string &method, const std::string &target)
    {
        // Shared with the hook, which may still be waking this thread when the result is returned.
        struct Reply
        {
            Waiting waiting; // guards response
            std::optional<HttpResponse> response;
        };
        Http1Client http(*m_pool);
        const auto reply = std::make_shared<Reply>();
        http.request({"127.0.0.1", m_sidecar->adminPort()}, {method, target, {}, {}}, 20s,
                     [reply](const Result<HttpResponse> &result) {
                         reply->waiting.change(
                             [&] { reply->response = result ? result.value() : HttpResponse {}; });
                     });
        CPPUNIT_ASSERT(reply->waiting.until([&] { return reply->response.has_value(); }));
        return *reply->response;
    }

    bool isDrained()
    {
        bool drained = false;
        m_waiting.change([&] { drained = m_drained; });
        return drained;
    }

public:
    void reportsCarryLoadAndPrefixes()
    {
        m_engine->setLoad(R"({"running":5,"waiting":2,"capacity":6})");
        m_engine->setCacheEvents(
            R"({"events":[{"sequence":1,"type":"stored","prefix_hash":11},
                {"sequence":2,"type":"stored","prefix_hash":12},
                {"sequence":3,"type":"evicted","prefix_hash":11}],"last":3})");
        startSidecar(settings());
        TestEntry watcher(client(), "/node/reports", WatchReports {"entry-1", 50});
        std::uint64_t sequence = 0;
        LoadReport report;
        do {
            report = watcher.next<LoadReport>();
            CPPUNIT_ASSERT(report.sequence > sequence);
            sequence = report.sequence;
        } while (report.running != 5 || report.prefixHashes.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), report.waiting);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(6), report.capacity);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), report.prefixHashes.at(0));
        CPPUNIT_ASSERT_EQUAL(incarnation, report.incarnation);
        CPPUNIT_ASSERT(!report.leaving);
    }

    // Guards against prefixes of an earlier run of the engine, and against events of the new one
    // that are skipped because their numbers were used before.
    void restartedEngineIsReadFromItsFirstEvent()
    {
        m_engine->setCacheEvents(
            R"({"events":[{"sequence":3,"type":"stored","prefix_hash":12}],"last":3})");
        startSidecar(settings());
        TestEntry watcher(client(), "/node/reports", WatchReports {"entry-1", 50});
        const auto takePrefixes = [&watcher](std::uint64_t awaited) {
            LoadReport report;
            do
                report = watcher.next<LoadReport>();
            while (std::ranges::count(report.prefixHashes, awaited) == 0);
            return report.prefixHashes;
        };
        takePrefixes(12);
        m_engine->setDown(true);
        m_engine->setCacheEvents(
            R"({"events":[{"sequence":9,"type":"stored","prefix_hash":21}],"last":9})");
        CPPUNIT_ASSERT(m_engine->waitForClosed());
        m_engine->setDown(false);
        CPPUNIT_ASSERT(takePrefixes(21) == std::vector<std::uint64_t> {21});
    }

    // Guards against a shutdown that interrupts a request, and against entries that learn of it
    // late.
    void drainReportsAtOnceAndLetsWorkEnd()
    {
        startSidecar(settings());
        TestEntry watcher(client(), "/node/reports", WatchReports {"entry-1", 3'600'000});
        watcher.next<LoadReport>();
        TestEntry running(client(), "/generation/start", startMessage());
        const auto completion = m_engine->completion(0);
        CPPUNIT_ASSERT_EQUAL(202, admin("POST", "/drain").status);
        CPPUNIT_ASSERT(watcher.next<LoadReport>().leaving);
        CPPUNIT_ASSERT_EQUAL(503, admin("GET", "/readyz").status);

        auto next = startMessage();
        next.requestId.front() = 'f';
        TestEntry refused(client(), "/generation/start", next);
        CPPUNIT_ASSERT(refused.next<Refused>().code == ErrorCode::Draining);
        completion.sendToken(1, "x");
        completion.sendFinish("stop");
        TestEntry other(client(), "/generation/attach",
                        Attach {startMessage().requestId, 1, "acme", 0, ""});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), other.next<Finished>().totalTokens);
        CPPUNIT_ASSERT(!isDrained());
        other.send(Ack {startMessage().requestId, 1, 1, true});
        CPPUNIT_ASSERT(m_waiting.until([&] { return m_drained; }));
    }

    void drainLimitEndsTheWait()
    {
        auto changed = settings();
        changed.drainLimit = 50ms;
        startSidecar(changed);
        TestEntry running(client(), "/generation/start", startMessage());
        m_engine->completion(0);
        m_sidecar->drain();
        CPPUNIT_ASSERT(m_waiting.until([&] { return m_drained; }));
        m_sidecar->stop();
        CPPUNIT_ASSERT(m_engine->waitForCancelled(1));
    }

    void recordsAreFoundByAccountAndKey()
    {
        startSidecar(settings());
        const GenerationRecord record {"acme", "k", "body", "r1", 1, "10.0.0.1:7000"};
        TestEntry stored(client(), "/generation/record", record);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), stored.next<GenerationRecord>().requestId);
        TestEntry found(client(), "/generation/find", FindGeneration {"acme", "k"});
        CPPUNIT_ASSERT_EQUAL(record.serverAddress, found.next<GenerationRecord>().serverAddress);
        TestEntry missing(client(), "/generation/find", FindGeneration {"other", "k"});
        CPPUNIT_ASSERT(missing.next<Refused>().code == ErrorCode::NotFound);
        auto other = record;
        other.bodyHash = "another body";
        TestEntry conflict(client(), "/generation/record", other);
        CPPUNIT_ASSERT(conflict.next<Refused>().code == ErrorCode::Conflict);
    }

    void adminPortAnswers()
    {
        auto changed = settings();
        changed.requireConfig = true;
        startSidecar(changed);
        CPPUNIT_ASSERT_EQUAL(200, admin("GET", "/healthz").status);
        CPPUNIT_ASSERT_EQUAL(503, admin("GET", "/readyz").status);
        TestEntry config(client(), "/node/config", ConfigUpdate {5, 0, {}, 0, {}});
        config.next<ConfigAck>();
        CPPUNIT_ASSERT_EQUAL(200, admin("GET", "/readyz").status);
        const auto metrics = admin("GET", "/metrics");
        CPPUNIT_ASSERT(metrics.body.find("sidecar_config_revision 5") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(405, admin("GET", "/drain").status);
        CPPUNIT_ASSERT_EQUAL(404, admin("GET", "/nothing").status);
    }

    // Guards against a stream that hangs when its bytes cannot be read.
    void malformedBytesResetTheStream()
    {
        startSidecar(settings());
        TestEntry report(client(), "/node/reports", startMessage());
        CPPUNIT_ASSERT(report.waitForClose());
        TestEntry unknown(client(), "/no/such/path", startMessage());
        CPPUNIT_ASSERT(unknown.waitForClose());
        TestEntry wrong(client(), "/generation/start", WatchReports {"entry-1", 50});
        CPPUNIT_ASSERT(wrong.next<Refused>().code == ErrorCode::InvalidArgument);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeTest);
