#include "foxtailring/protocol/RequestDigest.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <openssl/evp.h>
#include <string>
#include <string_view>

using namespace foxtailring;

class RequestDigestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestDigestTest);
    CPPUNIT_TEST(sameFieldsHaveOneDigest);
    CPPUNIT_TEST(movedFieldBordersChangeTheDigest);
    CPPUNIT_TEST(promptPartIsNoDigest);
    CPPUNIT_TEST(failureOfTheLibraryGivesNoDigest);
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

    // Guards against one name for all requests, of which one that crashes servers has all refused.
    void failureOfTheLibraryGivesNoDigest()
    {
        CPPUNIT_ASSERT_EQUAL(1, EVP_set_default_properties(nullptr, "provider=missing"));
        const std::string one = digest("GET", "/a", "");
        const std::string other = digest("GET", "/b", "");
        CPPUNIT_ASSERT_EQUAL(1, EVP_set_default_properties(nullptr, ""));
        CPPUNIT_ASSERT_EQUAL(std::string(), one);
        CPPUNIT_ASSERT_EQUAL(std::string(), other);
        CPPUNIT_ASSERT(RequestDigest::isDigest(digest("GET", "/a", "")));
    }

private:
    static std::string digest(std::string_view one, std::string_view two, std::string_view three)
    {
        const std::array fields {one, two, three};
        return RequestDigest::of(fields);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestDigestTest);
