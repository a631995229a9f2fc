#include "foxtailring/decisions/placement/SubsetSelector.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace foxtailring;

namespace {

std::vector<std::string> names(const std::string &prefix, int count)
{
    std::vector<std::string> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        all.push_back(prefix + std::to_string(i));
    return all;
}

} // namespace

class SubsetSelectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SubsetSelectorTest);
    CPPUNIT_TEST(sameOnEveryNode);
    CPPUNIT_TEST(serversAreAssignedEvenly);
    CPPUNIT_TEST(replacementMovesLittle);
    CPPUNIT_TEST(smallFleetsAreAssignedWhole);
    CPPUNIT_TEST_SUITE_END();

    const SubsetSelector m_selector {SubsetSelector::Settings {}};
    const std::vector<std::string> m_entries = names("entry-", 60);
    const std::vector<std::string> m_servers = names("server-", 100);

public:
    // Guards against entries that compute different assignments because their lists differ in
    // order.
    void sameOnEveryNode()
    {
        auto reversed = m_servers;
        std::reverse(reversed.begin(), reversed.end());
        auto others = m_entries;
        others.pop_back();
        const auto subset = m_selector.select("s", "r", "entry-59", m_entries, m_servers);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), subset.size());
        CPPUNIT_ASSERT(subset == m_selector.select("s", "r", "entry-59", others, reversed));
        CPPUNIT_ASSERT(subset != m_selector.select("s2", "r", "entry-59", m_entries, m_servers));
    }

    // Guards against servers that no entry uses and servers that too many entries use.
    void serversAreAssignedEvenly()
    {
        std::map<std::string, int> entryCounts;
        for (const auto &subset : m_selector.assign("s", "r", m_entries, m_servers)) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(8), subset.size());
            for (const std::string &server : subset)
                ++entryCounts[server];
        }
        CPPUNIT_ASSERT_EQUAL(m_servers.size(), entryCounts.size());
        for (const auto &[server, count] : entryCounts)
            CPPUNIT_ASSERT_MESSAGE(server, count <= 6); // 4.8 * 1.1, rounded up
    }

    // Guards against one replaced server that makes many entries of the region reconnect.
    void replacementMovesLittle()
    {
        auto replaced = m_servers;
        replaced[10] = "server-new";
        const auto before = m_selector.assign("s", "r", m_entries, m_servers);
        const auto after = m_selector.assign("s", "r", m_entries, replaced);
        std::size_t moved = 0;
        for (std::size_t i = 0; i < before.size(); ++i) {
            for (const std::string &server : after[i])
                moved += std::binary_search(before[i].begin(), before[i].end(), server) ? 0 : 1;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(moved), moved <= 30); // of 480 links
    }

    // Guards against unused servers when there are few entries, and against failing when there are
    // fewer servers than a subset holds.
    void smallFleetsAreAssignedWhole()
    {
        const auto few = names("server-", 24);
        CPPUNIT_ASSERT_EQUAL(std::size_t(24),
                             m_selector.select("s", "r", "e", names("e", 2), few).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                             m_selector.select("s", "r", "e", {}, names("x", 3)).size());
        CPPUNIT_ASSERT(m_selector.select("s", "r", "e", m_entries, {}).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SubsetSelectorTest);
