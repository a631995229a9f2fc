#include "foxtailring/decisions/placement/PrefixHints.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class PrefixHintsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrefixHintsTest);
    CPPUNIT_TEST(hintsExpireUnlessRepeated);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST(restartRemovesHints);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now = TimePoint {} + 1h;

    static void record(PrefixHints &hints, const char *server, std::uint64_t hash, TimePoint at)
    {
        hints.record(server, std::span(&hash, 1), at);
    }

public:
    // Guards against hints that stay after the cache entry is gone because an eviction event was
    // lost.
    void hintsExpireUnlessRepeated()
    {
        PrefixHints hints;
        record(hints, "a", 1, m_now);
        record(hints, "b", 1, m_now + 20s);
        CPPUNIT_ASSERT((hints.servers(1, m_now + 25s) == std::vector<std::string> {"b", "a"}));
        CPPUNIT_ASSERT((hints.servers(1, m_now + 40s) == std::vector<std::string> {"b"}));
        CPPUNIT_ASSERT(hints.servers(2, m_now).empty());
    }

    // Guards against memory use that grows with the number of prompts.
    void memoryIsBounded()
    {
        PrefixHints::Settings settings;
        settings.maxPrefixes = 3;
        settings.serversPerPrefix = 2;
        PrefixHints hints(settings);
        for (std::uint64_t hash = 0; hash < 10; ++hash)
            record(hints, "a", hash, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), hints.size());
        CPPUNIT_ASSERT(hints.servers(0, m_now).empty());
        record(hints, "b", 9, m_now);
        record(hints, "c", 9, m_now);
        CPPUNIT_ASSERT((hints.servers(9, m_now) == std::vector<std::string> {"c", "b"}));
    }

    // Guards against hints for the cache of a process that has ended.
    void restartRemovesHints()
    {
        PrefixHints hints;
        record(hints, "a", 1, m_now);
        record(hints, "b", 1, m_now);
        record(hints, "a", 2, m_now);
        hints.removeServer("a");
        CPPUNIT_ASSERT((hints.servers(1, m_now) == std::vector<std::string> {"b"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), hints.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixHintsTest);
