#include "SpeedReportCodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace foxtailring;
using std::chrono::microseconds;

class SpeedReportCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SpeedReportCodecTest);
    CPPUNIT_TEST(reportSurvivesTheStore);
    CPPUNIT_TEST(foreignValuesAreRejected);
    CPPUNIT_TEST(reportsThatAreTooLargeAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportSurvivesTheStore()
    {
        const SpeedReport sent {{{"chat", "10.0.0.1:80", microseconds(34'150), 1},
                                 {"chat", "10.0.0.2:80", microseconds(101'000), 12},
                                 {"code", "10.0.0.1:80", microseconds(58'000), 3}}};
        const std::string text = SpeedReportCodec::encode(sent);
        CPPUNIT_ASSERT_EQUAL(
            std::string("{\"chat\":{\"10.0.0.1:80\":[34150,1],\"10.0.0.2:80\":[101000,12]},"
                        "\"code\":{\"10.0.0.1:80\":[58000,3]}}"),
            text);
        CPPUNIT_ASSERT(sent == SpeedReportCodec::decode(text).value());
        CPPUNIT_ASSERT(SpeedReportCodec::decode("{}").value().readings.empty());
    }

    // Guards against a value of another writer that ends the process, or makes an engine look
    // infinitely fast.
    void foreignValuesAreRejected()
    {
        for (const char *entry :
             {"8", "{}", "[]", "[0,1]", "[-1,1]", "[1,0]", "[1.5,1]", "[1,1,1]", "[\"1\",1]",
              "[1e300,1]", "[18446744073709551615,1]", "[3600000001,1]", "[1,1001]", "[1"})
            CPPUNIT_ASSERT_MESSAGE(
                entry, !SpeedReportCodec::decode("{\"s\":{\"a\":" + std::string(entry) + "}}"));
        for (const char *text : {"", "x", "[]", "null", "{\"s\":[1,1]}", "{\"s\":1}"})
            CPPUNIT_ASSERT_MESSAGE(text, !SpeedReportCodec::decode(text));
    }

    // Guards against the memory that another writer's megabyte takes.
    void reportsThatAreTooLargeAreRejected()
    {
        const std::string name(201, 'x');
        CPPUNIT_ASSERT(!SpeedReportCodec::decode("{\"" + name + "\":{}}"));
        CPPUNIT_ASSERT(!SpeedReportCodec::decode("{\"s\":{\"" + name + "\":[1,1]}}"));
        SpeedReport many;
        for (int i = 0; i <= 3000; ++i)
            many.readings.push_back({"s", std::to_string(i), microseconds(1), 1});
        CPPUNIT_ASSERT(!SpeedReportCodec::decode(SpeedReportCodec::encode(many)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpeedReportCodecTest);
