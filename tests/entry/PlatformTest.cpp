#include "EntryFixture.h"
#include "TestPlatform.h"

#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/decisions/configuration/ConfigState.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::test;

// An entry that follows the platform's resources and VM list.
class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(firstReadIsTriedAgain);
    CPPUNIT_TEST(changesAreFollowed);
    CPPUNIT_TEST(silentWatchIsRenewed);
    CPPUNIT_TEST(compactedWatchReadsAgain);
    CPPUNIT_TEST(restoredStoreIsFollowed);
    CPPUNIT_TEST(outageKeepsConfigurationAndServers);
    CPPUNIT_TEST(catchUpInSeveralPartsLosesNothing);
    CPPUNIT_TEST_SUITE_END();

    const std::string m_spec = R"({"versions":[]})";
    const std::string m_vms =
        R"({"vms":[{"id":"s","address":"127.0.0.1:1","region":"r","availabilityZone":"z",)"
        R"("service":"lector","role":"sidecar","state":"live"}]})";

    static std::unique_ptr<EntryNode> follow(const TestPlatform &platform)
    {
        EntrySettings settings = EntryFixture::settings("entry");
        settings.platform.port = platform.port();
        settings.vmListInterval = std::chrono::milliseconds(50);
        settings.watchRenewal = std::chrono::milliseconds(300);
        auto node = std::make_unique<EntryNode>(settings);
        CPPUNIT_ASSERT(node->listen().isOk());
        node->followPlatform();
        return node;
    }

    static void waitForModel(EntryNode &node, const std::string &name)
    {
        EntryFixture::waitUntil([&] { return node.config().snapshot()->models.contains(name); });
    }

public:
    // Guards against an entry that serves nothing because the platform was down at its start.
    void firstReadIsTriedAgain()
    {
        TestPlatform platform;
        platform.put("Model", "a", m_spec);
        platform.setDown(true);
        const auto node = follow(platform);
        CPPUNIT_ASSERT(platform.wait([&] { return platform.reads >= 2; }));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), node->config().revision());
        platform.setDown(false);
        waitForModel(*node, "a");
    }

    void changesAreFollowed()
    {
        TestPlatform platform;
        const auto node = follow(platform);
        EntryFixture::waitUntil([&] { return node->config().revision() == 1; });
        const std::int64_t revision = platform.put("Model", "a", m_spec);
        waitForModel(*node, "a");
        CPPUNIT_ASSERT_EQUAL(revision, node->config().revision());
    }

    // Guards against an entry that keeps the changes lost with the restored store, and misses those
    // after it.
    void restoredStoreIsFollowed()
    {
        TestPlatform platform;
        const std::int64_t kept = platform.put("Model", "kept", m_spec);
        const auto node = follow(platform);
        platform.put("Model", "lost", m_spec);
        platform.put("Model", "lost-too", m_spec);
        waitForModel(*node, "lost-too");
        platform.restore(kept);
        const std::int64_t revision = platform.put("Model", "after", m_spec);
        waitForModel(*node, "after");
        const auto snapshot = node->config().snapshot();
        CPPUNIT_ASSERT_EQUAL(revision, snapshot->revision);
        CPPUNIT_ASSERT(snapshot->models.contains("kept"));
        CPPUNIT_ASSERT(!snapshot->models.contains("lost"));
    }

    // Guards against a connection that goes silent for good and hides every later change.
    void silentWatchIsRenewed()
    {
        TestPlatform platform;
        const auto node = follow(platform);
        platform.put("Model", "a", m_spec);
        waitForModel(*node, "a");
        platform.silenceWatches();
        platform.put("Model", "b", m_spec);
        waitForModel(*node, "b");
        CPPUNIT_ASSERT(platform.wait([&] { return platform.reads == 1; }));
    }

    void compactedWatchReadsAgain()
    {
        TestPlatform platform;
        const auto node = follow(platform);
        platform.put("Model", "a", m_spec);
        waitForModel(*node, "a");
        platform.silenceWatches();
        const std::int64_t revision = platform.put("Model", "b", m_spec);
        platform.compact(revision + 1);
        waitForModel(*node, "b");
        CPPUNIT_ASSERT(platform.wait([&] { return platform.reads >= 2; }));
    }

    // Guards against work that stops because the platform is down.
    void outageKeepsConfigurationAndServers()
    {
        TestPlatform platform;
        platform.put("Model", "a", m_spec);
        platform.setVms(m_vms);
        const auto node = follow(platform);
        waitForModel(*node, "a");
        EntryFixture::waitUntil([&] { return node->nodes().size() == 2; });
        platform.setDown(true);
        std::size_t before = 0;
        CPPUNIT_ASSERT(platform.wait([&] {
            before = before == 0 ? platform.polls : before;
            return platform.polls >= before + 2;
        }));
        CPPUNIT_ASSERT(node->config().snapshot()->models.contains("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), node->nodes().size());
        CPPUNIT_ASSERT(node->metrics().counterValue("vm_list_failures_total") > 0);
    }

    // Guards against taking the revision of the service for that of the change: a watch that
    // catches up sends several parts with the same one.
    void catchUpInSeveralPartsLosesNothing()
    {
        TestPlatform platform;
        const auto node = follow(platform);
        EntryFixture::waitUntil([&] { return node->config().revision() == 1; });
        platform.silenceWatches();
        platform.put("Model", "a", m_spec);
        platform.put("Model", "b", m_spec);
        waitForModel(*node, "a");
        waitForModel(*node, "b");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);
