#include "foxtailring/decisions/configuration/ConfigCheck.h"

#include "foxtailring/decisions/configuration/ConfigDifference.h"
#include "foxtailring/decisions/configuration/ConfigSurroundings.h"
#include "foxtailring/decisions/configuration/RouteConfig.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>

using namespace foxtailring;
using std::chrono::milliseconds;

namespace {

RouteConfig soundConfig()
{
    HttpRoute stream;
    stream.name = "summaries";
    stream.host = "a.example";
    stream.pathPrefix = "/s/";
    stream.kind = CallKind::Stream;
    stream.isResumable = true;
    stream.maxAttempts = 3;
    stream.targets = {{"engines", 1}};
    HttpRoute read;
    read.name = "reads";
    read.host = "a.example";
    read.pathPrefix = "/r/";
    read.kind = CallKind::Idempotent;
    read.maxAttempts = 2;
    read.targets = {{"log", 1}};
    RouteConfig config;
    config.version = 7;
    config.routes = {stream, read};
    config.services.resize(2);
    config.services[0].name = "engines";
    config.services[1].name = "log";
    config.hasAccounts = true;
    config.accounts = {{"club", std::nullopt, {"key-1", "key-2"}}, {"judges", 0, {"key-3"}}};
    return config;
}

ConfigSurroundings surroundings()
{
    ConfigSurroundings known;
    known.gatewayMemoryBytes = std::size_t(160) << 20U;
    known.serverCounts = {{{"engines", 24}, {"log", 3}}};
    return known;
}

} // namespace

class ConfigCheckTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigCheckTest);
    CPPUNIT_TEST(soundConfigurationHasNoFindings);
    CPPUNIT_TEST(brokenConfigurationsAreFound);
    CPPUNIT_TEST(findingsNameNoKey);
    CPPUNIT_TEST(changesNameTheirEffect);
    CPPUNIT_TEST(unchangedConfigurationHasNoChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    void soundConfigurationHasNoFindings()
    {
        const auto findings = ConfigCheck::check(soundConfig(), surroundings());
        CPPUNIT_ASSERT_MESSAGE(findings.empty() ? "" : findings.front().message, findings.empty());
    }

    // Guards against faults that gateways accept and callers notice.
    void brokenConfigurationsAreFound()
    {
        using Change = std::function<void(RouteConfig &)>;
        struct Case
        {
            const char *message;
            Change change;
        };
        const Case cases[] = {
            {"never matches: route \"summaries\"",
             [](auto &c) { c.routes.push_back(c.routes[0]); }},
            {"must begin and end", [](auto &c) { c.routes[0].pathPrefix = "/s"; }},
            {"must begin and end", [](auto &c) { c.routes[0].pathPrefix = "s/"; }},
            {"\"gone\" is not defined",
             [](auto &c) {
                 c.routes[0].targets = {{"gone", 1}};
             }},
            {"all weights are 0", [](auto &c) { c.routes[0].targets[0].weight = 0; }},
            {"gets no requests",
             [](auto &c) {
                 c.routes[0].targets.push_back({"log", 0});
             }},
            {"no route leads there", [](auto &c) { c.services.resize(3); }},
            {"defined twice", [](auto &c) { c.services.push_back(c.services[0]); }},
            {"has no servers now",
             [](auto &c) {
                 c.services[1].name = "new";
                 c.routes[1].targets = {{"new", 1}};
             }},
            {"ends requests before",
             [](auto &c) { c.routes[1].timeout = c.routes[1].latencyObjective / 2; }},
            {"the timeout is 0 ms", [](auto &c) { c.routes[0].timeout = milliseconds(0); }},
            {"is not under the timeout",
             [](auto &c) { c.routes[0].maxEventGap = c.routes[0].timeout; }},
            {"only streams have", [](auto &c) { c.routes[1].maxEventGap = milliseconds(700); }},
            {"only streams can resume", [](auto &c) { c.routes[1].isResumable = true; }},
            {"attempts have no effect", [](auto &c) { c.routes[0].isResumable = false; }},
            {"5 attempts, but", [](auto &c) { c.routes[1].maxAttempts = 5; }},
            {"do not tell them apart", [](auto &c) { c.routes[1].name = "summaries"; }},
            {"holds the same key", [](auto &c) { c.accounts[1].keys = {"key-1"}; }},
            {"holds a key twice",
             [](auto &c) {
                 c.accounts[0].keys = {"key-1", "key-1"};
             }},
            {"has an empty key", [](auto &c) { c.accounts[0].keys = {""}; }},
            {"has no key", [](auto &c) { c.accounts[0].keys.clear(); }},
            {"no key is accepted", [](auto &c) { c.accounts.clear(); }},
            {"head of 0 bytes", [](auto &c) { c.limits.maxHeaderBytes = 0; }},
            {"0 ms for the head", [](auto &c) { c.limits.headerTimeout = milliseconds(0); }},
            {"smallest gateway holds",
             [](auto &c) { c.limits.maxBodyBytes = std::size_t(16) << 20U; }},
        };
        for (const Case &one : cases) {
            RouteConfig config = soundConfig();
            one.change(config);
            const auto findings = ConfigCheck::check(config, surroundings());
            const bool isFound =
                std::any_of(findings.begin(), findings.end(), [&one](const ConfigFinding &finding) {
                    return finding.message.find(one.message) != std::string::npos;
                });
            CPPUNIT_ASSERT_MESSAGE(one.message, isFound);
        }
    }

    // Guards against keys in the logs of the scripts that run the check.
    void findingsNameNoKey()
    {
        RouteConfig config = soundConfig();
        config.accounts[1].keys = {"key-1", "key-1"};
        for (const ConfigFinding &finding : ConfigCheck::check(config, {}))
            CPPUNIT_ASSERT(finding.message.find("key-1") == std::string::npos);
        for (const ConfigChange &change : ConfigDifference::between(soundConfig(), config))
            CPPUNIT_ASSERT((change.what + change.effect).find("key-") == std::string::npos);
    }

    void changesNameTheirEffect()
    {
        RouteConfig next = soundConfig();
        next.version = 8;
        next.routes.erase(next.routes.begin());
        next.routes[0].timeout = milliseconds(1000);
        next.accounts[0].keys = {"key-2", "key-4"};
        const auto changes = ConfigDifference::between(soundConfig(), next);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("removed"), changes[0].what);
        CPPUNIT_ASSERT(changes[0].endsService);
        CPPUNIT_ASSERT_EQUAL(std::string("timeout 30000 ms -> 1000 ms"), changes[1].what);
        CPPUNIT_ASSERT_EQUAL(std::string("1 keys taken away"), changes[2].what);
        CPPUNIT_ASSERT(changes[2].endsService);
        CPPUNIT_ASSERT_EQUAL(std::string("1 keys added"), changes[3].what);
    }

    // Guards against a version that gateways would ignore and operators take for sent.
    void unchangedConfigurationHasNoChanges()
    {
        RouteConfig next = soundConfig();
        next.version = 8;
        CPPUNIT_ASSERT(ConfigDifference::between(soundConfig(), next).empty());
        CPPUNIT_ASSERT_EQUAL(std::string("version"),
                             ConfigDifference::between(next, soundConfig()).at(0).place);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigCheckTest);
