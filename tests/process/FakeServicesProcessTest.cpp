#include "ChildProcess.h"
#include "HttpClient.h"
#include "SseStream.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::harness;
using nlohmann::json;

// The faults of the fake platform and the fake plain service that the other process tests rely on.
class FakeServicesProcessTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FakeServicesProcessTest);
    CPPUNIT_TEST(lostReplyTookEffect);
    CPPUNIT_TEST(frozenWatchDeliversEveryChangeLater);
    CPPUNIT_TEST(compactedWatchIsCancelled);
    CPPUNIT_TEST(downPlatformClosesCallsAndWatches);
    CPPUNIT_TEST(expiredLeaseReachesWatches);
    CPPUNIT_TEST(droppedReplyExecutedOnceAndFailureNever);
    CPPUNIT_TEST(staleFencingTokenIsRejected);
    CPPUNIT_TEST(unknownFaultNameIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_platform =
            std::make_unique<ChildProcess>(FAKE_PLATFORM_PATH, std::vector<std::string> {});
        m_service = std::make_unique<ChildProcess>(FAKE_SERVICE_PATH,
                                                   std::vector<std::string> {"--check-fencing"});
    }

    void tearDown() override
    {
        m_platform.reset();
        m_service.reset();
    }

    void lostReplyTookEffect()
    {
        platform().post("/fake/fault", {{"loseReplyNext", 1}});
        const auto lost = platform().send({"POST", "/v3/kv/put", {}, put("djE=").dump()});
        CPPUNIT_ASSERT(!lost && lost.error().code == ErrorCode::Closed);
        const json found = platform().post("/v3/kv/range", {{"key", key}});
        CPPUNIT_ASSERT_EQUAL(std::string("djE="), found["kvs"][0]["value"].get<std::string>());
    }

    void frozenWatchDeliversEveryChangeLater()
    {
        const auto watch = startWatch(0);
        platform().post("/fake/fault", {{"freezeWatches", true}});
        platform().post("/v3/kv/put", put("djE="));
        platform().post("/v3/kv/put", put("djI="));
        CPPUNIT_ASSERT(!watch->next(shortTimeout));
        CPPUNIT_ASSERT(watch->unparsedText().find("events") == std::string::npos);
        platform().post("/fake/fault", {{"freezeWatches", false}});
        CPPUNIT_ASSERT(receives(*watch, "djE=") && receives(*watch, "djI="));
    }

    void compactedWatchIsCancelled()
    {
        platform().post("/v3/kv/put", put("djE="));
        platform().post("/v3/kv/put", put("djI="));
        platform().post("/v3/kv/compaction", {{"revision", "3"}});
        const auto watch = startWatch(2);
        CPPUNIT_ASSERT(receives(*watch, "\"compact_revision\":\"3\""));
        CPPUNIT_ASSERT(!watch->next());
        CPPUNIT_ASSERT(watch->end() == SseStream::End::Finished);
    }

    void downPlatformClosesCallsAndWatches()
    {
        const auto watch = startWatch(0);
        platform().post("/fake/fault", {{"down", "close"}});
        CPPUNIT_ASSERT(!watch->next());
        CPPUNIT_ASSERT(watch->end() == SseStream::End::Broken);
        const auto refused = platform().send({"GET", "/v1/vms", {}, {}});
        CPPUNIT_ASSERT(!refused && refused.error().code == ErrorCode::Closed);
        platform().post("/fake/fault", {{"down", "hang"}});
        const auto hung = platform().send({"GET", "/v1/vms", {}, {}}, shortTimeout);
        CPPUNIT_ASSERT(!hung && hung.error().code == ErrorCode::Timeout);
        platform().post("/fake/fault", {{"down", false}});
        CPPUNIT_ASSERT(platform().get("/v1/vms")["vms"].empty());
    }

    void expiredLeaseReachesWatches()
    {
        const auto watch = startWatch(0);
        const json lease = platform().post("/v3/lease/grant", {{"TTL", "1"}});
        json attached = put("djE=");
        attached["lease"] = lease["ID"];
        platform().post("/v3/kv/put", attached);
        CPPUNIT_ASSERT(receives(*watch, "DELETE"));
        CPPUNIT_ASSERT(!platform().post("/v3/kv/range", {{"key", key}}).contains("kvs"));
    }

    // Guards against a service log that contains a failed call or lacks an executed one.
    void droppedReplyExecutedOnceAndFailureNever()
    {
        service().post("/fake/fault", {{"failNext", 1}, {"dropReplyNext", 1}});
        const HttpCall notice {"POST", "/notices", {{"Idempotency-Key", "n-1"}}, "sheet 7"};
        const auto failed = service().send(notice);
        CPPUNIT_ASSERT(failed && failed.value().status == 500);
        CPPUNIT_ASSERT(service().get("/fake/log")["calls"].empty());
        const auto dropped = service().send(notice);
        CPPUNIT_ASSERT(!dropped && dropped.error().code == ErrorCode::Closed);
        const json calls = service().get("/fake/log")["calls"];
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), calls.size());
        CPPUNIT_ASSERT_EQUAL(std::string("n-1"), calls[0]["idempotencyKey"].get<std::string>());
    }

    void staleFencingTokenIsRejected()
    {
        CPPUNIT_ASSERT_EQUAL(200, statusWithFencing("8"));
        CPPUNIT_ASSERT_EQUAL(412, statusWithFencing("7"));
        CPPUNIT_ASSERT_EQUAL(200, statusWithFencing("8"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), service().get("/fake/log")["calls"].size());
    }

    // Guards against tests that pass because a misspelt fault was never set.
    void unknownFaultNameIsRejected()
    {
        const auto reply = service().send({"POST", "/fake/fault", {}, R"({"dropReply":1})"});
        CPPUNIT_ASSERT(reply && reply.value().status == 400);
    }

private:
    static constexpr const char *key = "aw==";
    // For reads that are expected to time out.
    static constexpr std::chrono::milliseconds shortTimeout {200};

    HttpClient platform() { return HttpClient(m_platform->port()); }
    HttpClient service() { return HttpClient(m_service->port()); }

    static json put(const std::string &value) { return {{"key", key}, {"value", value}}; }

    std::unique_ptr<SseStream> startWatch(std::int64_t startRevision)
    {
        const json request = {{"key", key}, {"start_revision", std::to_string(startRevision)}};
        return std::make_unique<SseStream>(
            m_platform->port(),
            HttpCall {"POST", "/v3/watch", {}, json {{"create_request", request}}.dump()});
    }

    static bool receives(SseStream &watch, const std::string &text)
    {
        return waitUntil([&] {
            watch.next(std::chrono::milliseconds(10));
            return watch.unparsedText().find(text) != std::string::npos;
        });
    }

    int statusWithFencing(const std::string &token)
    {
        const auto reply = service().send({"PUT", "/locks/7", {{"X-Fencing-Token", token}}, "x"});
        return reply ? reply.value().status : 0;
    }

    std::unique_ptr<ChildProcess> m_platform;
    std::unique_ptr<ChildProcess> m_service;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FakeServicesProcessTest);
