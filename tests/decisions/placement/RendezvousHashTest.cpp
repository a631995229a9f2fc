#include "foxtailring/decisions/placement/RendezvousHash.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class RendezvousHashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RendezvousHashTest);
    CPPUNIT_TEST(orderOfNamesDoesNotMatter);
    CPPUNIT_TEST(removingANameMovesOnlyItsKeys);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<std::string> names(int count)
    {
        std::vector<std::string> all;
        all.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            all.push_back("server-" + std::to_string(i));
        return all;
    }

public:
    // Guards against nodes that disagree on a key's home because their lists differ in order.
    void orderOfNamesDoesNotMatter()
    {
        auto list = names(20);
        const auto ranked = RendezvousHash::rank("key", list);
        std::reverse(list.begin(), list.end());
        CPPUNIT_ASSERT(ranked == RendezvousHash::rank("key", list));
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), ranked.size());
        CPPUNIT_ASSERT_EQUAL(ranked.front(), RendezvousHash::first("key", list));
        CPPUNIT_ASSERT(RendezvousHash::first("key", {}).empty());
    }

    // Guards against a server's removal that moves the home of unrelated keys.
    void removingANameMovesOnlyItsKeys()
    {
        const auto before = names(10);
        const std::vector<std::string> after(before.begin(), before.end() - 1);
        for (int i = 0; i < 500; ++i) {
            const std::string key = "key-" + std::to_string(i);
            const std::string home = RendezvousHash::first(key, before);
            if (home != before.back())
                CPPUNIT_ASSERT_EQUAL(home, RendezvousHash::first(key, after));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RendezvousHashTest);
