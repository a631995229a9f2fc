#include "foxtailring/protocol/RequestDigest.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <string_view>

using namespace foxtailring;

class RequestDigestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestDigestTest);
    CPPUNIT_TEST(sameFieldsHaveOneDigest);
    CPPUNIT_TEST(movedFieldBordersChangeTheDigest);
    CPPUNIT_TEST(promptPartIsNoDigest);
    CPPUNIT_TEST_SUITE_END();

public:
    void sameFieldsHaveOneDigest()
    {
        CPPUNIT_ASSERT_EQUAL(digest("GET", "/a", ""), digest("GET", "/a", ""));
        CPPUNIT_ASSERT(digest("GET", "/a", "") != digest("PUT", "/a", ""));
        CPPUNIT_ASSERT(digest("GET", "/a", "x") != digest("GET", "/a", "y"));
    }

    // Guards against a caller whose request is taken for another account's.
    void movedFieldBordersChangeTheDigest()
    {
        CPPUNIT_ASSERT(digest("ab", "c", "") != digest("a", "bc", ""));
        CPPUNIT_ASSERT(digest("ab", "", "c") != digest("ab", "c", ""));
    }

    // Guards against a prompt part whose id names another caller's request.
    void promptPartIsNoDigest()
    {
        const std::string name = digest("GET", "/a", "");
        CPPUNIT_ASSERT(RequestDigest::isDigest(name));
        CPPUNIT_ASSERT(!RequestDigest::isDigest(name.substr(0, name.find(':'))));
        CPPUNIT_ASSERT(!RequestDigest::isDigest(name + "0"));
        CPPUNIT_ASSERT(!RequestDigest::isDigest(""));
    }

private:
    static std::string digest(std::string_view one, std::string_view two, std::string_view three)
    {
        const std::array fields {one, two, three};
        return RequestDigest::of(fields);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestDigestTest);
