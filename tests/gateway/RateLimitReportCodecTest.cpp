#include "RateLimitReportCodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class RateLimitReportCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RateLimitReportCodecTest);
    CPPUNIT_TEST(reportSurvivesTheStore);
    CPPUNIT_TEST(foreignValuesAreRejected);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RateLimitReportCodecTest);
