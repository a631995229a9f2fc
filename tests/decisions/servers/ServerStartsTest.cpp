#include "foxtailring/decisions/servers/ServerStarts.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace foxtailring;

class ServerStartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerStartsTest);
    CPPUNIT_TEST(startsAreTold);
    CPPUNIT_TEST(memoryIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a restarted server that is taken for the one that left.
    void startsAreTold()
    {
        ServerStarts servers;
        servers.insert(info("a", 1));
        CPPUNIT_ASSERT(servers.contains(info("a", 1)));
        CPPUNIT_ASSERT(!servers.contains(info("a", 2)));
        CPPUNIT_ASSERT(!servers.contains(info("b", 1)));
        CPPUNIT_ASSERT(servers.contains(info("a", 0)));
        servers.insert(info("a", 2));
        CPPUNIT_ASSERT(!servers.contains(info("a", 1)));
        CPPUNIT_ASSERT(servers.contains(info("a", 2)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), servers.size());
    }

    // Servers come and go for months under ever new ids. Guards against memory that grows with
    // them.
    void memoryIsBounded()
    {
        ServerStarts servers;
        const std::size_t count = ServerStarts::maxSize + 10;
        for (std::size_t i = 0; i < count; ++i)
            servers.insert(info("i-" + std::to_string(i), 1));
        CPPUNIT_ASSERT_EQUAL(ServerStarts::maxSize, servers.size());
        CPPUNIT_ASSERT(!servers.contains(info("i-9", 1)));
        CPPUNIT_ASSERT(servers.contains(info("i-10", 1)));
        CPPUNIT_ASSERT(servers.contains(info("i-" + std::to_string(count - 1), 1)));
    }

private:
    static BackendInfo info(const std::string &id, std::int64_t startedAtMs)
    {
        BackendInfo one;
        one.id = id;
        one.address = "10.0.0.1:80";
        one.startedAtMs = startedAtMs;
        return one;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerStartsTest);
