#include "foxtailring/base/AsciiCase.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace foxtailring;

class AsciiCaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AsciiCaseTest);
    CPPUNIT_TEST(onlyTheCaseOfLettersIsIgnored);
    CPPUNIT_TEST(nothingIsReadBeyondTheEnd);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyTheCaseOfLettersIsIgnored()
    {
        CPPUNIT_ASSERT(equalIgnoringCase("Keep-Alive", "kEEP-aLIVE"));
        CPPUNIT_ASSERT(equalIgnoringCase("", ""));
        CPPUNIT_ASSERT(!equalIgnoringCase("a", "ab"));
        CPPUNIT_ASSERT(!equalIgnoringCase("a[", "a{"));
        CPPUNIT_ASSERT(!equalIgnoringCase("@", "`"));
        CPPUNIT_ASSERT(!equalIgnoringCase("\xc4", "\xe4"));
    }

    // Guards against a comparison that reads past the buffer, which the address sanitizer reports.
    void nothingIsReadBeyondTheEnd()
    {
        for (std::size_t size = 1; size < 20; ++size) {
            const std::vector<char> upper(size, 'A');
            const std::vector<char> lower(size, 'a');
            CPPUNIT_ASSERT(equalIgnoringCase({upper.data(), size}, {lower.data(), size}));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsciiCaseTest);
