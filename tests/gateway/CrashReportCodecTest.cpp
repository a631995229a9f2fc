#include "CrashReportCodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class CrashReportCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashReportCodecTest);
    CPPUNIT_TEST(reportSurvivesTheStore);
    CPPUNIT_TEST(reportsOfTheVersionBeforeAreRead);
    CPPUNIT_TEST(foreignValuesAreRejected);
    CPPUNIT_TEST(bytesThatAreNoTextAreEncoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportSurvivesTheStore()
    {
        const CrashReport sent {
            {{"e@1", 1780000000000, {"a", "b"}, false, "engine", {{0, 1}, {1}}, {}},
             {"e@2", 1780000000001, {"a"}, true, {}, {}, {0}}},
            {{"a", 5}},
            {{"b", 6, 7}},
            {{8, 9}}};
        const auto received = CrashReportCodec::decode(CrashReportCodec::encode(sent));
        CPPUNIT_ASSERT(received.value() == sent);
        const auto empty = CrashReportCodec::decode(CrashReportCodec::encode({}));
        CPPUNIT_ASSERT(empty.value().isEmpty());
    }

    // Guards against gateways that do not understand each other during a roll-out.
    void reportsOfTheVersionBeforeAreRead()
    {
        const auto report = CrashReportCodec::decode(
            R"({"crashes":[["e@1",5,["a"]]],"quarantines":[],"starts":[]})");
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), report.value().crashes.at(0).atMs);
        CPPUNIT_ASSERT(report.value().crashes.at(0).service.empty());
        CPPUNIT_ASSERT(!report.value().dating);
    }

    // Guards against a value of another writer that ends the process or fills its memory.
    void foreignValuesAreRejected()
    {
        const std::string frame = R"({"starts":[],"quarantines":[],"crashes":)";
        for (const std::string &text : {std::string(),
                                        std::string("x"),
                                        std::string("[]"),
                                        std::string("null"),
                                        std::string(R"({"crashes":[]})"),
                                        frame + "1}",
                                        frame + "[1]}",
                                        frame + "[[1,2,3]]}",
                                        frame + R"([["e","now",[]]]})",
                                        frame + R"([["e",-1,[]]]})",
                                        frame + R"([["e",1e300,[]]]})",
                                        frame + R"([["e",99999999999999,[]]]})",
                                        frame + R"([["e",1,[2]]]})",
                                        frame + R"([["e",1]]})",
                                        frame + R"([],"dating":[1]})",
                                        frame + R"([],"dating":[1,-1]})",
                                        frame + R"([],"services":[1]})",
                                        frame + R"([],"services":[["e@1"]]})",
                                        frame + R"([],"services":[["e@1",2]]})",
                                        frame + R"([],"requests":[["e@1"]]})",
                                        frame + R"([],"requests":[["e@1",[0]]]})",
                                        frame + R"([],"requests":[["e@1",[[-1]]]]})",
                                        frame + R"([],"requests":[["e@1",[[64]]]]})",
                                        frame + R"([],"oneLoss":[["e@1",0]]})",
                                        frame + R"([],"oneLoss":[["e@1",["0"]]]})",
                                        frame + R"([[")" + std::string(300, 'e') + R"(",1,[]]]})"})
            CPPUNIT_ASSERT_MESSAGE(text, !CrashReportCodec::decode(text));
    }

    // Guards against an exception for ids that callers send.
    void bytesThatAreNoTextAreEncoded()
    {
        const CrashReport report {{{"e@1", 1, {"\xff\xfe"}, false, "\xff", {}, {}}}, {}, {}, {}};
        CPPUNIT_ASSERT(CrashReportCodec::decode(CrashReportCodec::encode(report)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReportCodecTest);
