#include "foxtailring/operator/RouteConfigCheck.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

using namespace foxtailring;

class RouteConfigCheckTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteConfigCheckTest);
    CPPUNIT_TEST(exitCodeTellsWhatWasFound);
    CPPUNIT_TEST(jsonNamesFindingsAndChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a script that sends a configuration with errors.
    void exitCodeTellsWhatWasFound()
    {
        CPPUNIT_ASSERT_EQUAL(int(RouteConfigCheck::Sound), run("1", false));
        CPPUNIT_ASSERT_EQUAL(int(RouteConfigCheck::HasErrors), run("2 undefined", false));
        CPPUNIT_ASSERT(m_printed.find("error: route") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(int(RouteConfigCheck::Unreadable), run("none", false));
        CPPUNIT_ASSERT(m_printed.find("cannot be read: no version") != std::string::npos);
    }

    void jsonNamesFindingsAndChanges()
    {
        run("1 undefined", true);
        CPPUNIT_ASSERT(m_printed.find(R"("severity":"error")") != std::string::npos);
        CPPUNIT_ASSERT(m_printed.find(R"("what":"added")") != std::string::npos);
    }

private:
    static Result<RouteConfig> decode(std::string_view text)
    {
        if (text == "none")
            return Error {ErrorCode::Malformed, "no version"};
        RouteConfig config;
        config.version = text.front() - '0';
        if (text.ends_with("undefined")) {
            config.routes.resize(1);
            config.routes[0].pathPrefix = "/x/";
            config.routes[0].targets = {{"gone", 1}};
        }
        return config;
    }

    int run(std::string_view next, bool printsJson)
    {
        std::ostringstream out;
        const int code = RouteConfigCheck(decode, printsJson, out).run({next, "0", {}});
        m_printed = out.str();
        return code;
    }

    std::string m_printed;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteConfigCheckTest);
