#include "PlatformRules.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace foxtailring;

class PlatformRulesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformRulesTest);
    CPPUNIT_TEST(memoryIsLimitedWhereARuleCallsForIt);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against serving earlier deployments in another way.
    void memoryIsLimitedWhereARuleCallsForIt()
    {
        const std::vector<std::string> earlier {"base", "drain", "cost", "platform"};
        CPPUNIT_ASSERT(!platform::limitsPeerMemory(earlier));
        CPPUNIT_ASSERT(!platform::limitsPeerMemory({}));
        const std::vector<std::string> rules {"base", "pressure", "platform"};
        CPPUNIT_ASSERT(platform::limitsPeerMemory(rules));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformRulesTest);
