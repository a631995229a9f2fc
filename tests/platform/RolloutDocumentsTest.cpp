#include "RolloutDocuments.h"
#include "ServerEntry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class RolloutDocumentsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutDocumentsTest);
    CPPUNIT_TEST(orderIsRead);
    CPPUNIT_TEST(unusableOrdersAreMalformed);
    CPPUNIT_TEST(statusIsReadAsWritten);
    CPPUNIT_TEST(unusableStatusesAreMalformed);
    CPPUNIT_TEST(serverWithoutReadableVersionIsUsed);
    CPPUNIT_TEST_SUITE_END();

public:
    void orderIsRead()
    {
        const auto order =
            platform::decodeRolloutOrder("s", R"({"service":"s","to":"v2","ramp_s":12})");
        CPPUNIT_ASSERT(order.isOk());
        CPPUNIT_ASSERT((order.value() == RolloutOrder {"s", "v2", 12s}));
    }

    // Guards against an order that moves a service to nothing, or at once.
    void unusableOrdersAreMalformed()
    {
        for (const char *text :
             {"", "[]", R"({"service":"t","to":"v2","ramp_s":12})", R"({"to":"","ramp_s":12})",
              R"({"to":2,"ramp_s":12})", R"({"to":"v2"})", R"({"to":"v2","ramp_s":0})",
              R"({"to":"v2","ramp_s":"12"})", R"({"to":"v2","ramp_s":1e300})"})
            CPPUNIT_ASSERT_MESSAGE(text, !platform::decodeRolloutOrder("s", text).isOk());
    }

    void statusIsReadAsWritten()
    {
        RolloutStatus status;
        status.state = RolloutState::RolledBack;
        status.version = "v2";
        status.isTrial = false;
        status.share = 0.05;
        status.startedAtMs = 1'700'000'000'000;
        status.elapsedMs = 4'500;
        status.order = {2, 17};
        status.refused = {"v0", "v2"};
        status.newFigures = {30, 9, 1};
        status.reason = "bad: r";
        const std::string text = platform::encodeRolloutStatus(status);
        CPPUNIT_ASSERT(text.find(R"("state":"rolled_back")") != std::string::npos);
        CPPUNIT_ASSERT(text.find(R"("to":"v2")") != std::string::npos);
        const auto read = platform::decodeRolloutStatus(text);
        CPPUNIT_ASSERT(read.isOk());
        CPPUNIT_ASSERT(read.value() == status);
    }

    void unusableStatusesAreMalformed()
    {
        for (const char *text :
             {"", "1", R"({"state":"serving"})", R"({"to":"v2"})", R"({"state":"done","to":"v2"})",
              R"({"state":"serving","to":"v2","order":"x"})"})
            CPPUNIT_ASSERT_MESSAGE(text, !platform::decodeRolloutStatus(text).isOk());
    }

    // Guards against a server that is lost because another writer left its version out.
    void serverWithoutReadableVersionIsUsed()
    {
        const auto versionOf = [](const std::string &field) {
            const auto server = platform::decodeServer(
                "i",
                R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,)" + field
                    + R"("state":"ready"})");
            CPPUNIT_ASSERT(server.isOk());
            return server.value().version;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("v2"), versionOf(R"("version":"v2",)"));
        for (const char *field : {"", R"("version":1,)", R"("version":null,)"})
            CPPUNIT_ASSERT_EQUAL(std::string(), versionOf(field));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutDocumentsTest);
