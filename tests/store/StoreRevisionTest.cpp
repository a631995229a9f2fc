#include "foxtailring/store/StoreRevision.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class StoreRevisionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StoreRevisionTest);
    CPPUNIT_TEST(textWithoutEpochIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an entity tag that is valid in every epoch.
    void textWithoutEpochIsRejected()
    {
        for (const char *text : {"", "5", "0.5", ".5", "1.", "1.5.", "-1.5", "1.-5", "1.x", " 1.5"})
            CPPUNIT_ASSERT_MESSAGE(text, !StoreRevision::parse(text));
        CPPUNIT_ASSERT((StoreRevision::parse("1.5") == StoreRevision {1, 5}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRevisionTest);
