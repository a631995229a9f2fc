#include "CallMeter.h"
#include "GatewayCodec.h"
#include "TokenBucket.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::fakes;
using nlohmann::json;
using std::chrono::milliseconds;

class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(transactionIsReadInBothSpellings);
    CPPUNIT_TEST(answersFollowTheGatewaysJson);
    CPPUNIT_TEST(malformedBase64IsRefused);
    CPPUNIT_TEST(meterFindsTheLargestSecond);
    CPPUNIT_TEST(weightStoreAdmitsAtItsRate);
    CPPUNIT_TEST_SUITE_END();

public:
    void transactionIsReadInBothSpellings()
    {
        const TxnRequest snake = parseTxn(json::parse(
            R"({"compare":[{"key":"aw==","target":"MOD","mod_revision":"9007199254740993"}],
                "success":[{"request_put":{"key":"aw==","value":"djE="}}]})"));
        CPPUNIT_ASSERT_EQUAL(std::string("k"), snake.compares.at(0).key);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9007199254740993), snake.compares.at(0).number);
        const TxnRequest camel = parseTxn(json::parse(
            R"({"compare":[{"key":"aw==","target":"CREATE","result":"LESS","createRevision":5}],
                "failure":[{"requestDeleteRange":{"key":"aw==","rangeEnd":"bA=="}}]})"));
        CPPUNIT_ASSERT(camel.compares.at(0).relation == Compare::Relation::Less);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), camel.compares.at(0).number);
        const auto &erase = std::get<DeleteRequest>(camel.failure.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string("l"), erase.range.end);
    }

    // Guards against a client that works only with a gateway that writes out default values.
    void answersFollowTheGatewaysJson()
    {
        RangeReply range;
        range.keyValues.push_back({"k", "v1", 2, 3, 2, 0});
        range.count = 1;
        const json full = replyJson(range, 3);
        CPPUNIT_ASSERT_EQUAL(std::string("3"), full["header"]["revision"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("djE="), full["kvs"][0]["value"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("1"), full["count"].get<std::string>());
        CPPUNIT_ASSERT(!full["kvs"][0].contains("lease"));
        const json empty = replyJson(RangeReply {}, 3);
        CPPUNIT_ASSERT(!empty.contains("kvs") && !empty.contains("count"));
        CPPUNIT_ASSERT(!txnJson({}).contains("succeeded"));
    }

    void malformedBase64IsRefused()
    {
        CPPUNIT_ASSERT_THROW(parsePut({{"key", "?"}}), std::invalid_argument);
        CPPUNIT_ASSERT_EQUAL(std::string(), parsePut({{"key", "aw=="}, {"value", ""}}).value);
    }

    void meterFindsTheLargestSecond()
    {
        CallMeter meter;
        const TimePoint start;
        for (const int at : {0, 900, 1100, 1200, 5000})
            meter.add("kv/range", CallMeter::Class::Read, start + milliseconds(at));
        meter.watchOpened();
        meter.watchOpened();
        meter.watchClosed();
        CPPUNIT_ASSERT_EQUAL(3, meter.stats()["largestReadsPerSecond"].get<int>());
        CPPUNIT_ASSERT_EQUAL(0, meter.stats()["largestWritesPerSecond"].get<int>());
        CPPUNIT_ASSERT_EQUAL(2, meter.stats()["largestOpenWatches"].get<int>());
        CPPUNIT_ASSERT_EQUAL(1, meter.stats()["openWatches"].get<int>());
    }

    void weightStoreAdmitsAtItsRate()
    {
        TokenBucket bucket(10.0, 2.0);
        const TimePoint start = TimePoint() + std::chrono::hours(1);
        CPPUNIT_ASSERT(bucket.take(start) == Duration::zero());
        CPPUNIT_ASSERT(bucket.take(start) == Duration::zero());
        CPPUNIT_ASSERT(bucket.take(start) == milliseconds(100));
        CPPUNIT_ASSERT(bucket.take(start) == milliseconds(200));
        CPPUNIT_ASSERT(bucket.take(start + milliseconds(400)) == Duration::zero());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);
