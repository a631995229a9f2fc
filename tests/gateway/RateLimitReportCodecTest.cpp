#include "RateLimitReportCodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace foxtailring;

class RateLimitReportCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimitReportCodecTest);
    CPPUNIT_TEST(reportSurvivesTheStore);
    CPPUNIT_TEST(foreignValuesAreRejected);
    CPPUNIT_TEST(nestedAndLargeValuesAreRejected);
    CPPUNIT_TEST(idsThatAreNoTextAreEncoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportSurvivesTheStore()
    {
        const RateLimitReport sent {{{"i-1", 8.4, 0.125}, {"i-2", 0, 64}}};
        const auto received = RateLimitReportCodec::decode(RateLimitReportCodec::encode(sent));
        CPPUNIT_ASSERT_EQUAL(std::size_t {2}, received.value().entries.size());
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), received.value().entries[0].serverId);
        CPPUNIT_ASSERT_EQUAL(8.4, received.value().entries[0].limit);
        CPPUNIT_ASSERT_EQUAL(64.0, received.value().entries[1].demand);
        CPPUNIT_ASSERT(RateLimitReportCodec::decode("{}").value().entries.empty());
    }

    // Guards against a value of another writer that ends the process or makes every share zero.
    void foreignValuesAreRejected()
    {
        for (const char *text :
             {"", "x", "[]", "null", "{\"i-1\":8}", "{\"i-1\":[8]}", "{\"i-1\":[8,-1]}",
              "{\"i-1\":[\"8\",1]}", "{\"i-1\":[8,1e300]}", "{\"i-1\":[1e999,1]}", "{\"i-1\":[8,1"})
            CPPUNIT_ASSERT_MESSAGE(text, !RateLimitReportCodec::decode(text));
    }

    // Guards against the memory that another writer's megabyte takes.
    void nestedAndLargeValuesAreRejected()
    {
        const std::string deep = std::string(300'000, '[') + std::string(300'000, ']');
        CPPUNIT_ASSERT(!RateLimitReportCodec::decode("{\"i-1\":" + deep + '}'));
        CPPUNIT_ASSERT(
            !RateLimitReportCodec::decode("{\"" + std::string(1000, 'i') + "\":[8.4,2]}"));
        std::string many = "{\"i-0\":[8.4,2]";
        for (int i = 1; i <= 60'000; ++i)
            many += ",\"i-" + std::to_string(i) + "\":[8,2]";
        CPPUNIT_ASSERT(!RateLimitReportCodec::decode(many + '}'));
    }

    // Guards against an exception for a server that answers under an id that is no UTF-8.
    void idsThatAreNoTextAreEncoded()
    {
        const RateLimitReport sent {{{"i-\xff", 8.4, 0.125}}};
        const auto received = RateLimitReportCodec::decode(RateLimitReportCodec::encode(sent));
        CPPUNIT_ASSERT_EQUAL(std::size_t {1}, received.value().entries.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitReportCodecTest);
