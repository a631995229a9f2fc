#include "foxtailring/base/ParseJson.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>
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
    CPPUNIT_TEST(numbersBeyondADoubleAreTheLargest);
    CPPUNIT_TEST(numbersAreReplacedOnlyWhereTheyAreNumbers);
    CPPUNIT_TEST(textWithLargeNumbersIsDiscardedIfItIsNoJson);
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

    // Guards against losing a whole document to one number. It stays a number that is no integer,
    // so that a field which expects something else is known to be odd.
    void numbersBeyondADoubleAreTheLargest()
    {
        const std::string digits(400, '9');
        for (const std::string &huge : {std::string("1e400"), std::string("1E+400"), digits,
                                        digits + ".5", "0." + digits + "e999"}) {
            std::string text = R"({"a":[)";
            text.append(huge).append(",-").append(huge).append(R"(],"b":7})");
            const json out = parseJsonBoundingNumbers(text);
            CPPUNIT_ASSERT_MESSAGE(huge, out.is_object());
            CPPUNIT_ASSERT(out["a"][0].is_number_float());
            CPPUNIT_ASSERT_EQUAL(largest, out["a"][0].get<double>());
            CPPUNIT_ASSERT_EQUAL(-largest, out["a"][1].get<double>());
            CPPUNIT_ASSERT_EQUAL(7, out["b"].get<int>());
        }
        CPPUNIT_ASSERT_EQUAL(largest, parseJsonBoundingNumbers("1e400").get<double>());
        CPPUNIT_ASSERT_EQUAL(0.0, parseJsonBoundingNumbers("[1e-400,1e400]")[0].get<double>());
    }

    void numbersAreReplacedOnlyWhereTheyAreNumbers()
    {
        const json out = parseJsonBoundingNumbers(
            R"({"1e400":"1e400","q":"\"1e400\\","n":[1,-2.5,0,1e30],"t":true,"h":1e400})");
        CPPUNIT_ASSERT_EQUAL(std::string("1e400"), out["1e400"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("\"1e400\\"), out["q"].get<std::string>());
        CPPUNIT_ASSERT(json::parse("[1,-2.5,0,1e30]") == out["n"]);
        CPPUNIT_ASSERT(out["t"].get<bool>());
    }

    void textWithLargeNumbersIsDiscardedIfItIsNoJson()
    {
        for (const char *text :
             {"", "{", "01e400", "1e400.5", "+1e400", ".5e400", "1.e400", "1e400 1e400", "[1e400",
              "\"1e400", "\"\\", "1e400e", "-", "--1e400", "1e"})
            CPPUNIT_ASSERT_MESSAGE(text, parseJsonBoundingNumbers(text).is_discarded());
        const std::string deep = std::string(65, '[') + "1e400" + std::string(65, ']');
        CPPUNIT_ASSERT(parseJsonBoundingNumbers(deep).is_discarded());
        const std::string zeros = std::string(500'000, '0') + "1e400";
        CPPUNIT_ASSERT(parseJsonBoundingNumbers(zeros).is_discarded());
    }

private:
    static constexpr double largest = std::numeric_limits<double>::max();
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParseJsonTest);
