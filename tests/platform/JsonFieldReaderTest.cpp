#include "JsonFieldReader.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace foxtailring;
using nlohmann::json;

class JsonFieldReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonFieldReaderTest);
    CPPUNIT_TEST(integersBeyond64BitsAreErrors);
    CPPUNIT_TEST(boundariesOf64BitsAreIntegers);
    CPPUNIT_TEST(wholeNumbersMayHaveAFraction);
    CPPUNIT_TEST(otherTypesAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reading 18446744073709551615 as -1.
    void integersBeyond64BitsAreErrors()
    {
        for (const char *number : {"9223372036854775808", "18446744073709551615",
                                   "18446744073709551616", "-9223372036854775809", "1e300"}) {
            const json object = parseField(number);
            platform::JsonFieldReader fields(object);
            (void)fields.integer("n");
            CPPUNIT_ASSERT_MESSAGE(number, fields.error().has_value());
            platform::JsonFieldReader optional(object);
            (void)optional.integerOr("n", 3);
            CPPUNIT_ASSERT_MESSAGE(number, optional.error().has_value());
        }
    }

    void boundariesOf64BitsAreIntegers()
    {
        const json object = parseField("[9223372036854775807,-9223372036854775808]");
        const json largest {{"n", object["n"][0]}};
        const json smallest {{"n", object["n"][1]}};
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::int64_t>::max(),
                             platform::JsonFieldReader(largest).integer("n"));
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::int64_t>::min(),
                             platform::JsonFieldReader(smallest).integer("n"));
    }

    // Guards against a configuration that cannot be read because a writer keeps its numbers as
    // floating-point ones.
    void wholeNumbersMayHaveAFraction()
    {
        for (const char *value : {"2500.0", "2.5e3", "2500"}) {
            const json object = parseField(value);
            platform::JsonFieldReader fields(object);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::int64_t(2500), fields.integer("n"));
            CPPUNIT_ASSERT_MESSAGE(value, !fields.error());
        }
    }

    void otherTypesAreErrors()
    {
        for (const char *value : {"1.5", "1e16", "\"1\"", "true", "[]", "{}", "[[[[1]]]]"}) {
            const json object = parseField(value);
            platform::JsonFieldReader fields(object);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, std::int64_t(0), fields.integer("n"));
            CPPUNIT_ASSERT_MESSAGE(value, fields.error().has_value());
        }
    }

private:
    static json parseField(const std::string &value)
    {
        return json::parse(R"({"n":)" + value + '}', nullptr, false);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonFieldReaderTest);
