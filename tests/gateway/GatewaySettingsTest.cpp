#include "foxtailring/gateway/GatewaySettings.h"
#include "foxtailring/base/SettingsReader.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class GatewaySettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewaySettingsTest);
    CPPUNIT_TEST(exampleIsRead);
    CPPUNIT_TEST(everyInvalidSettingIsReported);
    CPPUNIT_TEST(rulesOfThePlatformAreRead);
    CPPUNIT_TEST(secondAttemptsAreOffWithoutAShare);
    CPPUNIT_TEST(rolloutsAreOptional);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an example file that the gateway does not accept.
    void exampleIsRead()
    {
        const auto settings =
            GatewaySettings::fromFile(std::string(FOXTAILRING_SOURCE_DIR) + "/config/gateway.yaml");
        CPPUNIT_ASSERT(settings.isOk());
        CPPUNIT_ASSERT_EQUAL(std::string("asturias"), settings.value().regions.at("oviedo-a"));
        CPPUNIT_ASSERT(settings.value().drainTimeout == std::chrono::seconds(8));
    }

    void everyInvalidSettingIsReported()
    {
        auto reader =
            SettingsReader::fromText("nodeId: g\nregions: [a]\nthreads: 0\nstore: x\n", "g.yaml");
        const auto settings = GatewaySettings::read(reader.value());
        CPPUNIT_ASSERT(!settings.isOk());
        for (const char *part :
             {"availabilityZone: missing", "regions", "threads", "store", "listen: missing"})
            CPPUNIT_ASSERT_MESSAGE(part, settings.error().message.find(part) != std::string::npos);
    }

    void rulesOfThePlatformAreRead()
    {
        const std::string text =
            "nodeId: g\navailabilityZone: a\nregions: [a=r]\nlisten: 127.0.0.1:1\n"
            "ready: 127.0.0.1:2\nmetrics: 127.0.0.1:3\nstore: 127.0.0.1:4\n";
        auto without = SettingsReader::fromText(text, "g.yaml");
        CPPUNIT_ASSERT(GatewaySettings::read(without.value()).value().platformRules.empty());
        auto with = SettingsReader::fromText(text + "platformRules: [\"a\",\"b\"]\n", "g.yaml");
        CPPUNIT_ASSERT_EQUAL(std::string("b"),
                             GatewaySettings::read(with.value()).value().platformRules.back());
    }

    // Guards against extra work on the servers that the operators did not ask for or mistyped.
    void secondAttemptsAreOffWithoutAShare()
    {
        CPPUNIT_ASSERT_EQUAL(0.0, GatewaySettings {}.secondAttempts.maxShare);
        for (const auto &[text, error] : {std::pair {"{maxShare: 0.9}", "secondAttempts.maxShare"},
                                          {"{maxShare: 0}", "secondAttempts.maxShare"},
                                          {"{maxshare: 0.1}", "secondAttempts.maxshare"},
                                          {"{}", "secondAttempts.maxShare"},
                                          {"0.1", "secondAttempts"}}) {
            const std::string file = std::string("secondAttempts: ") + text + "\n";
            auto reader = SettingsReader::fromText(file, "g.yaml");
            const auto settings = GatewaySettings::read(reader.value());
            CPPUNIT_ASSERT_MESSAGE(text, !settings.isOk());
            CPPUNIT_ASSERT_MESSAGE(settings.error().message,
                                   settings.error().message.find(error) != std::string::npos);
        }
    }

    // Guards against roll-outs, and their calls to the store, where no limits for them are set.
    void rolloutsAreOptional()
    {
        const std::string base =
            "nodeId: g\navailabilityZone: a\nregions: [a=r]\nlisten: 127.0.0.1:1\n"
            "ready: 127.0.0.1:2\nmetrics: 127.0.0.1:3\nstore: 127.0.0.1:4\n";
        auto without = SettingsReader::fromText(base, "g.yaml");
        CPPUNIT_ASSERT(!GatewaySettings::read(without.value()).value().rollouts);
        auto with = SettingsReader::fromText(
            base + "rollouts:\n  maxShare: 0.2\n  slackRequests: 9\n  rollbackMs: 4000\n",
            "g.yaml");
        const auto settings = GatewaySettings::read(with.value());
        CPPUNIT_ASSERT(settings.isOk());
        CPPUNIT_ASSERT_EQUAL(0.2, settings.value().rollouts->maxShare);
        CPPUNIT_ASSERT_EQUAL(9.0, settings.value().rollouts->slackRequests);
        auto invalid =
            SettingsReader::fromText(base + "rollouts: {maxShare: 2, other: 1}\n", "g.yaml");
        const auto rejected = GatewaySettings::read(invalid.value());
        CPPUNIT_ASSERT(!rejected.isOk());
        for (const char *part : {"maxShare", "other"})
            CPPUNIT_ASSERT(rejected.error().message.find(part) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewaySettingsTest);
