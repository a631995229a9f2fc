#include "foxtailring/store/EtcdClient.h"

#include "PlatformFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace foxtailring;
using nlohmann::json;

namespace {

const std::string binary("\x00\xff\x80", 3); // AP+A in base64

json jsonOf(const char *text)
{
    return json::parse(text);
}

} // namespace

class EtcdClientTest : public PlatformFixture
{
    CPPUNIT_TEST_SUITE(EtcdClientTest);
    CPPUNIT_TEST(getReadsBinaryValues);
    CPPUNIT_TEST(missingKeyIsAnEmptyRange);
    CPPUNIT_TEST(rangeAsksForThePrefix);
    CPPUNIT_TEST(swapComparesTheRevision);
    CPPUNIT_TEST(failedSwapTellsThePresentValue);
    CPPUNIT_TEST(removeIsATransaction);
    CPPUNIT_TEST(lostReplyDiffersFromUnsent);
    CPPUNIT_TEST(errorStatusesAreTold);
    CPPUNIT_TEST(malformedRangesAreRejected);
    CPPUNIT_TEST(malformedTransactionsAreRejected);
    CPPUNIT_TEST(leaseIsGrantedAndKept);
    CPPUNIT_TEST(malformedLeasesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        PlatformFixture::setUp();
        m_client.emplace(*m_http, m_service, testDeadline);
    }

    void tearDown() override
    {
        PlatformFixture::tearDown();
        m_client.reset();
    }

    void getReadsBinaryValues()
    {
        ResultBox<RangeResult> box;
        m_client->get(binary, box.hook());
        const HttpRequest request = answer(R"({"header":{"revision":"12"},"count":"1",
            "kvs":[{"key":"AP+A","value":"AP+A","mod_revision":"7","version":"2"}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("/v3/kv/range"), request.target);
        CPPUNIT_ASSERT(json::parse(request.body) == jsonOf(R"({"key":"AP+A"})"));
        const RangeResult range = box.take().value();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), range.revision);
        CPPUNIT_ASSERT_EQUAL(binary, range.pairs.at(0).key);
        CPPUNIT_ASSERT_EQUAL(binary, range.pairs.at(0).value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), range.pairs.at(0).modRevision);
    }

    void missingKeyIsAnEmptyRange()
    {
        ResultBox<RangeResult> box;
        m_client->get("k", box.hook());
        answer(R"({"header":{"revision":"3"}})");
        CPPUNIT_ASSERT(box.take().value().pairs.empty());
    }

    void rangeAsksForThePrefix()
    {
        const std::pair<std::string, const char *> cases[] = {
            {"a/", R"({"key":"YS8=","range_end":"YTA="})"},
            {"a\xff", R"({"key":"Yf8=","range_end":"Yg=="})"},
            {"\xff", R"({"key":"/w==","range_end":"AA=="})"}};
        for (const auto &[prefix, expected] : cases) {
            ResultBox<RangeResult> box;
            m_client->range(prefix, box.hook());
            const HttpRequest request = answer(R"({"header":{"revision":"3"}})");
            CPPUNIT_ASSERT(json::parse(request.body) == jsonOf(expected));
            CPPUNIT_ASSERT(box.take().isOk());
        }
    }

    void swapComparesTheRevision()
    {
        ResultBox<WriteResult> box;
        m_client->compareAndSwap("k", "v", 5, box.hook(), 9);
        const HttpRequest request = answer(R"({"header":{"revision":"6"},"succeeded":true,
            "responses":[{"response_put":{"header":{"revision":"6"}}}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("/v3/kv/txn"), request.target);
        CPPUNIT_ASSERT(json::parse(request.body) == jsonOf(R"({
            "compare":[{"key":"aw==","target":"MOD","result":"EQUAL","mod_revision":"5"}],
            "success":[{"request_put":{"key":"aw==","value":"dg==","lease":"9"}}],
            "failure":[{"request_range":{"key":"aw=="}}]})"));
        const WriteResult result = box.take().value();
        CPPUNIT_ASSERT(result.applied);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), result.revision);
    }

    // Guards against a conflict that cannot name the revision that is in force.
    void failedSwapTellsThePresentValue()
    {
        ResultBox<WriteResult> box;
        m_client->compareAndSwap("k", "v", 5, box.hook());
        answer(R"({"header":{"revision":"8"},"responses":[{"response_range":
            {"kvs":[{"key":"aw==","value":"dw==","mod_revision":"7"}]}}]})");
        const WriteResult other = box.take().value();
        CPPUNIT_ASSERT(!other.applied);
        CPPUNIT_ASSERT_EQUAL(std::string("w"), other.current.value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), other.current.modRevision);

        m_client->compareAndSwap("k", "v", 5, box.hook());
        answer(R"({"header":{"revision":"8"},"responses":[{"response_range":{}}]})");
        const WriteResult gone = box.take().value();
        CPPUNIT_ASSERT(!gone.applied);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), gone.current.modRevision);
    }

    void removeIsATransaction()
    {
        ResultBox<WriteResult> box;
        m_client->compareAndDelete("k", 5, box.hook());
        const HttpRequest request = answer(R"({"header":{"revision":"6"},"succeeded":true})");
        CPPUNIT_ASSERT(json::parse(request.body)["success"]
                       == jsonOf(R"([{"request_delete_range":{"key":"aw=="}}])"));
        CPPUNIT_ASSERT(box.take().value().applied);
    }

    // Guards against a write that is reported as not sent although it took effect.
    void lostReplyDiffersFromUnsent()
    {
        ResultBox<WriteResult> box;
        m_client->compareAndSwap("k", "v", 0, box.hook());
        m_arrived.take().responder->abort();
        CPPUNIT_ASSERT(box.take().error().code == ErrorCode::Closed);

        EtcdClient impatient(*m_http, m_service, std::chrono::milliseconds(50));
        impatient.compareAndSwap("k", "v", 0, box.hook());
        const Arrived unanswered = m_arrived.take();
        CPPUNIT_ASSERT(box.take().error().code == ErrorCode::Timeout);

        m_server->close();
        m_client->compareAndSwap("k", "v", 0, box.hook());
        CPPUNIT_ASSERT(box.take().error().code == ErrorCode::Unavailable);
    }

    void errorStatusesAreTold()
    {
        const std::tuple<int, const char *, ErrorCode> cases[] = {
            {400, R"({"error":"bad","code":3,"message":"bad"})", ErrorCode::InvalidArgument},
            {404, R"({"code":5,"message":"requested lease not found"})", ErrorCode::NotFound},
            {429, R"({"code":8,"message":"too many requests"})", ErrorCode::Overloaded},
            {429, "slow down", ErrorCode::Overloaded},
            {503, R"({"code":14,"message":"request timed out"})", ErrorCode::Timeout},
            {504, "<html>", ErrorCode::Timeout}};
        for (const auto &[status, body, expected] : cases) {
            ResultBox<WriteResult> box;
            m_client->compareAndSwap("k", "v", 0, box.hook());
            answer(body, status);
            CPPUNIT_ASSERT_MESSAGE(body, box.take().error().code == expected);
        }
    }

    // Guards against a reply that is half read and passed on as the state of the store.
    void malformedRangesAreRejected()
    {
        const char *replies[] = {
            "",
            "[]",
            R"({"header":{"revision":"3"},"kvs":[{"key":"aw==")",
            R"({"kvs":[]})",
            R"({"header":{}})",
            R"({"header":{"revision":"x"}})",
            R"({"header":{"revision":"3"},"kvs":5})",
            R"({"header":{"revision":"3"},"kvs":[5]})",
            R"({"header":{"revision":"3"},"kvs":[{}]})",
            R"({"header":{"revision":"3"},"kvs":[{"key":"aw=="}]})",
            R"({"header":{"revision":"3"},"kvs":[{"key":"aw==","mod_revision":"1.5"}]})",
            R"({"header":{"revision":"3"},"kvs":[{"key":7,"mod_revision":"1"}]})",
            R"({"header":{"revision":"3"},"kvs":[{"key":"a","mod_revision":"1"}]})",
            R"({"header":{"revision":"3"},"kvs":[{"key":"====","mod_revision":"1"}]})",
            R"({"header":{"revision":"3"},"kvs":[{"key":"aw==\n\n\n\n","mod_revision":"1"}]})"};
        for (const char *reply : replies) {
            ResultBox<RangeResult> box;
            m_client->get("k", box.hook());
            answer(reply);
            const auto result = box.take();
            CPPUNIT_ASSERT_MESSAGE(reply, !result && result.error().code == ErrorCode::Malformed);
        }
    }

    void malformedTransactionsAreRejected()
    {
        const char *replies[] = {
            R"({"succeeded":true})",
            R"({"header":{"revision":"3"},"succeeded":"true"})",
            R"({"header":{"revision":"3"}})",
            R"({"header":{"revision":"3"},"responses":[]})",
            R"({"header":{"revision":"3"},"responses":[{"response_range":[1]}]})",
            R"({"header":{"revision":"3"},"responses":[{"response_range":{"kvs":[{}]}}]})"};
        for (const char *reply : replies) {
            ResultBox<WriteResult> box;
            m_client->compareAndSwap("k", "v", 1, box.hook());
            answer(reply);
            const auto result = box.take();
            CPPUNIT_ASSERT_MESSAGE(reply, !result && result.error().code == ErrorCode::Malformed);
        }
    }

    void leaseIsGrantedAndKept()
    {
        ResultBox<std::int64_t> box;
        m_client->grantLease(std::chrono::seconds(10), box.hook());
        const HttpRequest grant = answer(R"({"header":{"revision":"3"},"ID":"77","TTL":"10"})");
        CPPUNIT_ASSERT_EQUAL(std::string("/v3/lease/grant"), grant.target);
        CPPUNIT_ASSERT(json::parse(grant.body) == jsonOf(R"({"TTL":"10"})"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(77), box.take().value());

        m_client->keepAlive(77, box.hook());
        const HttpRequest kept = answer(R"({"result":{"ID":"77","TTL":"10"}})");
        CPPUNIT_ASSERT_EQUAL(std::string("/v3/lease/keepalive"), kept.target);
        CPPUNIT_ASSERT(json::parse(kept.body) == jsonOf(R"({"ID":"77"})"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), box.take().value());

        m_client->keepAlive(77, box.hook());
        answer(R"({"result":{"ID":"77"}})");
        CPPUNIT_ASSERT(box.take().error().code == ErrorCode::NotFound);
    }

    // Guards against keys that never expire because lease 0 means none.
    void malformedLeasesAreRejected()
    {
        ResultBox<std::int64_t> box;
        for (const char *reply : {"{}", R"({"ID":"0"})", R"({"ID":true})"}) {
            m_client->grantLease(std::chrono::seconds(10), box.hook());
            answer(reply);
            CPPUNIT_ASSERT_MESSAGE(reply, box.take().error().code == ErrorCode::Malformed);
        }
        for (const char *reply : {"{}", R"({"result":5})", R"({"result":{"TTL":"soon"}})"}) {
            m_client->keepAlive(1, box.hook());
            answer(reply);
            CPPUNIT_ASSERT_MESSAGE(reply, box.take().error().code == ErrorCode::Malformed);
        }
    }

private:
    std::optional<EtcdClient> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdClientTest);
