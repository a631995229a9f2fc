#include "GatewayListingCodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class GatewayListingCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayListingCodecTest);
    CPPUNIT_TEST(demandIsReadAsItWasWritten);
    CPPUNIT_TEST(emptyValueOfAnOlderVersionIsNoDemand);
    CPPUNIT_TEST(unreadableValueIsNoDemand);
    CPPUNIT_TEST(fieldOfANewerVersionIsSkipped);
    CPPUNIT_TEST(settledEpochIsReadAsItWasWritten);
    CPPUNIT_TEST(unreadableSettledEpochIsNone);
    CPPUNIT_TEST_SUITE_END();

public:
    void demandIsReadAsItWasWritten()
    {
        for (int demand = 0; demand <= 16; ++demand)
            CPPUNIT_ASSERT(GatewayListingCodec::decode(GatewayListingCodec::encode(demand))
                           == demand);
    }

    void emptyValueOfAnOlderVersionIsNoDemand()
    {
        CPPUNIT_ASSERT(!GatewayListingCodec::decode(""));
        CPPUNIT_ASSERT_EQUAL(std::string(), GatewayListingCodec::encode(std::nullopt));
    }

    // Guards against a share by a number that no gateway wrote.
    void unreadableValueIsNoDemand()
    {
        for (const char *text : {"{", "3", "[3]", "{}", "null", R"({"demand":"3"})",
                                 R"({"demand":3.5})", R"({"demand":-1})", R"({"demand":17})",
                                 R"({"demand":18446744073709551615})", R"({"demand":1e99})"})
            CPPUNIT_ASSERT_MESSAGE(text, !GatewayListingCodec::decode(text));
    }

    void fieldOfANewerVersionIsSkipped()
    {
        CPPUNIT_ASSERT(GatewayListingCodec::decode(R"({"demand":3,"x":[]})") == 3);
    }

    void settledEpochIsReadAsItWasWritten()
    {
        for (const std::optional<int> demand : {std::optional<int>(), std::optional<int>(3)}) {
            const std::string text = GatewayListingCodec::encode(demand, 7);
            CPPUNIT_ASSERT(GatewayListingCodec::decode(text) == demand);
            CPPUNIT_ASSERT(GatewayListingCodec::decodeSettledEpoch(text) == 7);
        }
        CPPUNIT_ASSERT(!GatewayListingCodec::decodeSettledEpoch(GatewayListingCodec::encode(3)));
    }

    // Guards against an epoch that no gateway has known, by which keys would count as proved.
    void unreadableSettledEpochIsNone()
    {
        for (const char *text :
             {"", "{", "2", "{}", R"({"settledEpoch":"2"})", R"({"settledEpoch":2.0})",
              R"({"settledEpoch":0})", R"({"settledEpoch":-2})",
              R"({"settledEpoch":18446744073709551615})"})
            CPPUNIT_ASSERT_MESSAGE(text, !GatewayListingCodec::decodeSettledEpoch(text));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayListingCodecTest);
