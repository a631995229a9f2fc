#include "foxtailring/base/ParseJson.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <string>

using namespace foxtailring;
using nlohmann::json;

class ParseJsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ParseJsonTest);
    CPPUNIT_TEST(documentIsParsed);
    CPPUNIT_TEST(otherTextIsDiscarded);
    CPPUNIT_TEST(deepNestingIsDiscarded);
    CPPUNIT_TEST(bracketsInStringsAreNoNesting);
    CPPUNIT_TEST(escapesHideNoNesting);
    CPPUNIT_TEST_SUITE_END();

public:
    void documentIsParsed()
    {
        const char *text = R"({"a":[1,-2.5,"x",{"b":[[],{}]},null,true,[[[[[[[[1]]]]]]]]],"c":{}})";
        CPPUNIT_ASSERT(json::parse(text) == parseJson(text));
        CPPUNIT_ASSERT(json::array() == parseJson("[]"));
        CPPUNIT_ASSERT(json(7) == parseJson("7"));
    }

    void otherTextIsDiscarded()
    {
        for (const char *text :
             {"", "{", "ready", "\xff", "[1,]", "1e400", "{\"a\":1e400}", "[] []"})
            CPPUNIT_ASSERT_MESSAGE(text, parseJson(text).is_discarded());
    }

    // Guards against a stack overflow where values are copied or written, and against a value that
    // takes a hundred times the memory of its text.
    void deepNestingIsDiscarded()
    {
        for (const std::size_t depth : {65, 1000, 500'000}) {
            const std::string arrays = std::string(depth, '[') + std::string(depth, ']');
            CPPUNIT_ASSERT(parseJson(arrays).is_discarded());
            CPPUNIT_ASSERT(parseJson("{\"a\":" + arrays + ",\"b\":1}").is_discarded());
            CPPUNIT_ASSERT(parseJson(std::string(depth, '[')).is_discarded());
        }
        CPPUNIT_ASSERT(!parseJson(std::string(64, '[') + std::string(64, ']')).is_discarded());
    }

    // Guards against a document that is refused for its texts.
    void bracketsInStringsAreNoNesting()
    {
        const std::string brackets = R"({"a":"\"[{\\)" + std::string(100, '[') + R"(","b":[1]})";
        CPPUNIT_ASSERT(json::parse(brackets) == parseJson(brackets));
        CPPUNIT_ASSERT(!parseJson(brackets).is_discarded());
    }

    // Guards against nesting that an escape in a text before it hides.
    void escapesHideNoNesting()
    {
        const std::string deep = std::string(65, '[') + std::string(65, ']');
        for (const char *start : {R"(["\"",)", R"(["\\",)", R"(["\\\"",)", R"(["\u0022",)"})
            CPPUNIT_ASSERT_MESSAGE(start, parseJson(start + deep + "]").is_discarded());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParseJsonTest);
