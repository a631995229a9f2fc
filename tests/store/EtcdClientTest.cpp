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
    CPPUNIT_TEST(rangeRequestsThePrefix);
    CPPUNIT_TEST(swapComparesRevision);
    CPPUNIT_TEST(failedSwapReturnsCurrentValue);
    CPPUNIT_TEST(removeIsATransaction);
    CPPUNIT_TEST(lostReplyIsDistinctFromNotSent);
    CPPUNIT_TEST(errorStatusesMapToCodes);
    CPPUNIT_TEST(malformedRangesAreRejected);
    CPPUNIT_TEST(malformedTransactionsAreRejected);
    CPPUNIT_TEST(leaseIsGrantedAndRenewed);
    CPPUNIT_TEST(malformedLeasesAreRejected);
    CPPUNIT_TEST(leaseOfAnotherEpochIsStale);
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
        ResultMailbox<RangeResult> mailbox;
        m_client->get(binary, mailbox.hook());
        const HttpRequest request = answer(R"({"header":{"revision":"12"},"count":"1",
            "kvs":[{"key":"AP+A","value":"AP+A","mod_revision":"7","version":"2"}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("/v3/kv/range"), request.target);
        CPPUNIT_ASSERT(json::parse(request.body) == jsonOf(R"({"key":"AP+A"})"));
        const RangeResult range = mailbox.take().value();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), range.revision);
        CPPUNIT_ASSERT_EQUAL(binary, range.pairs.at(0).key);
        CPPUNIT_ASSERT_EQUAL(binary, range.pairs.at(0).value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), range.pairs.at(0).modRevision);
    }

    void missingKeyIsAnEmptyRange()
    {
        ResultMailbox<RangeResult> mailbox;
        m_client->get("k", mailbox.hook());
        answer(R"({"header":{"revision":"3"}})");
        CPPUNIT_ASSERT(mailbox.take().value().pairs.empty());
    }

    void rangeRequestsThePrefix()
    {
        const std::pair<std::string, const char *> cases[] = {
            {"a/", R"({"key":"YS8=","range_end":"YTA="})"},
            {"a\xff", R"({"key":"Yf8=","range_end":"Yg=="})"},
            {"\xff", R"({"key":"/w==","range_end":"AA=="})"}};
        for (const auto &[prefix, expected] : cases) {
            ResultMailbox<RangeResult> mailbox;
            m_client->range(prefix, mailbox.hook());
            const HttpRequest request = answer(R"({"header":{"revision":"3"}})");
            CPPUNIT_ASSERT(json::parse(request.body) == jsonOf(expected));
            CPPUNIT_ASSERT(mailbox.take().isOk());
        }
    }

    void swapComparesRevision()
    {
        ResultMailbox<WriteResult> mailbox;
        m_client->compareAndSwap("k", "v", {0, 5}, mailbox.hook(), {0, 9});
        const HttpRequest request = answer(R"({"header":{"revision":"6"},"succeeded":true,
            "responses":[{"response_put":{"header":{"revision":"6"}}}]})");
        CPPUNIT_ASSERT_EQUAL(std::string("/v3/kv/txn"), request.target);
        CPPUNIT_ASSERT(json::parse(request.body) == jsonOf(R"({
            "compare":[{"key":"aw==","target":"MOD","result":"EQUAL","mod_revision":"5"}],
            "success":[{"request_put":{"key":"aw==","value":"dg==","lease":"9"}}],
            "failure":[{"request_range":{"key":"aw=="}}]})"));
        const WriteResult result = mailbox.take().value();
        CPPUNIT_ASSERT(result.applied);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), result.revision);
    }

    // Guards against a conflict that cannot name the current revision.
    void failedSwapReturnsCurrentValue()
    {
        ResultMailbox<WriteResult> mailbox;
        m_client->compareAndSwap("k", "v", {0, 5}, mailbox.hook());
        answer(R"({"header":{"revision":"8"},"responses":[{"response_range":
            {"kvs":[{"key":"aw==","value":"dw==","mod_revision":"7"}]}}]})");
        const WriteResult changed = mailbox.take().value();
        CPPUNIT_ASSERT(!changed.applied);
        CPPUNIT_ASSERT_EQUAL(std::string("w"), changed.current.value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), changed.current.modRevision);

        m_client->compareAndSwap("k", "v", {0, 5}, mailbox.hook());
        answer(R"({"header":{"revision":"8"},"responses":[{"response_range":{}}]})");
        const WriteResult deleted = mailbox.take().value();
        CPPUNIT_ASSERT(!deleted.applied);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), deleted.current.modRevision);
    }

    void removeIsATransaction()
    {
        ResultMailbox<WriteResult> mailbox;
        m_client->compareAndDelete("k", {0, 5}, mailbox.hook());
        const HttpRequest request = answer(R"({"header":{"revision":"6"},"succeeded":true})");
        CPPUNIT_ASSERT(json::parse(request.body)["success"]
                       == jsonOf(R"([{"request_delete_range":{"key":"aw=="}}])"));
        CPPUNIT_ASSERT(mailbox.take().value().applied);
    }

    // Guards against a write that is reported as not sent although it was applied.
    void lostReplyIsDistinctFromNotSent()
    {
        ResultMailbox<WriteResult> mailbox;
        m_client->compareAndSwap("k", "v", {0, 0}, mailbox.hook());
        m_requests.take().responder->abort();
        CPPUNIT_ASSERT(mailbox.take().error().code == ErrorCode::Closed);

        EtcdClient shortTimeoutClient(*m_http, m_service, std::chrono::milliseconds(50));
        shortTimeoutClient.compareAndSwap("k", "v", {0, 0}, mailbox.hook());
        const PendingRequest unanswered = m_requests.take();
        CPPUNIT_ASSERT(mailbox.take().error().code == ErrorCode::Timeout);

        m_server->close();
        m_client->compareAndSwap("k", "v", {0, 0}, mailbox.hook());
        CPPUNIT_ASSERT(mailbox.take().error().code == ErrorCode::Unavailable);
    }

    void errorStatusesMapToCodes()
    {
        const std::tuple<int, const char *, ErrorCode> cases[] = {
            {400, R"({"error":"bad","code":3,"message":"bad"})", ErrorCode::InvalidArgument},
            {404, R"({"code":5,"message":"requested lease not found"})", ErrorCode::NotFound},
            {429, R"({"code":8,"message":"too many requests"})", ErrorCode::Overloaded},
            {429, "slow down", ErrorCode::Overloaded},
            {503, R"({"code":14,"message":"request timed out"})", ErrorCode::Timeout},
            {504, "<html>", ErrorCode::Timeout}};
        for (const auto &[status, body, expected] : cases) {
            ResultMailbox<WriteResult> mailbox;
            m_client->compareAndSwap("k", "v", {0, 0}, mailbox.hook());
            answer(body, status);
            CPPUNIT_ASSERT_MESSAGE(body, mailbox.take().error().code == expected);
        }
    }

    // Guards against a truncated or malformed reply that is passed on as the state of the store.
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
            ResultMailbox<RangeResult> mailbox;
            m_client->get("k", mailbox.hook());
            answer(reply);
            const auto result = mailbox.take();
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
            ResultMailbox<WriteResult> mailbox;
            m_client->compareAndSwap("k", "v", {0, 1}, mailbox.hook());
            answer(reply);
            const auto result = mailbox.take();
            CPPUNIT_ASSERT_MESSAGE(reply, !result && result.error().code == ErrorCode::Malformed);
        }
    }

    void leaseIsGrantedAndRenewed()
    {
        ResultMailbox<StoreLease> granted;
        m_client->grantLease(std::chrono::seconds(10), granted.hook());
        const HttpRequest grant = answer(R"({"header":{"revision":"3"},"ID":"77","TTL":"10"})");
        CPPUNIT_ASSERT_EQUAL(std::string("/v3/lease/grant"), grant.target);
        CPPUNIT_ASSERT(json::parse(grant.body) == jsonOf(R"({"TTL":"10"})"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(77), granted.take().value().id);

        ResultMailbox<std::chrono::seconds> mailbox;
        m_client->keepAlive({0, 77}, mailbox.hook());
        const HttpRequest renewed = answer(R"({"result":{"ID":"77","TTL":"10"}})");
        CPPUNIT_ASSERT_EQUAL(std::string("/v3/lease/keepalive"), renewed.target);
        CPPUNIT_ASSERT(json::parse(renewed.body) == jsonOf(R"({"ID":"77"})"));
        CPPUNIT_ASSERT(mailbox.take().value() == std::chrono::seconds(10));

        m_client->keepAlive({0, 77}, mailbox.hook());
        answer(R"({"result":{"ID":"77"}})");
        CPPUNIT_ASSERT(mailbox.take().error().code == ErrorCode::NotFound);
    }

    // Guards against keys that never expire: lease 0 stands for no lease.
    void malformedLeasesAreRejected()
    {
        ResultMailbox<StoreLease> granted;
        for (const char *reply : {"{}", R"({"ID":"0"})", R"({"ID":true})"}) {
            m_client->grantLease(std::chrono::seconds(10), granted.hook());
            answer(reply);
            CPPUNIT_ASSERT_MESSAGE(reply, granted.take().error().code == ErrorCode::Malformed);
        }
        ResultMailbox<std::chrono::seconds> mailbox;
        for (const char *reply : {"{}", R"({"result":5})", R"({"result":{"TTL":"soon"}})"}) {
            m_client->keepAlive({0, 1}, mailbox.hook());
            answer(reply);
            CPPUNIT_ASSERT_MESSAGE(reply, mailbox.take().error().code == ErrorCode::Malformed);
        }
    }

    // Guards against the renewal of another process's lease, which has the id of the lost one.
    void leaseOfAnotherEpochIsStale()
    {
        ResultMailbox<StoreLease> granted;
        m_client->grantLease(std::chrono::seconds(10), granted.hook());
        answer(R"({"header":{"cluster_id":"7","revision":"3"},"ID":"77","TTL":"10"})");
        const StoreLease lease = granted.take().value();
        ResultMailbox<std::chrono::seconds> renewed;
        m_client->keepAlive(lease, renewed.hook());
        answer(R"({"result":{"header":{"cluster_id":"8","revision":"3"},"ID":"77","TTL":"10"}})");
        CPPUNIT_ASSERT(renewed.take().error().code == ErrorCode::Stale);
        ResultMailbox<WriteResult> written;
        m_client->compareAndSwap("k", "v", {}, written.hook(), lease);
        answer(R"({"header":{"cluster_id":"8","revision":"6"},"succeeded":true})");
        CPPUNIT_ASSERT(written.take().error().code == ErrorCode::Stale);
    }

private:
    std::optional<EtcdClient> m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdClientTest);
