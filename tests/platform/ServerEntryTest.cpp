#include "ServerEntry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace foxtailring;
using nlohmann::json;

class ServerEntryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerEntryTest);
    CPPUNIT_TEST(numbersOutOfRangeAreRefused);
    CPPUNIT_TEST(addressesThatNameNoServerAreRefused);
    CPPUNIT_TEST(deeplyNestedEntryIsRefused);
    CPPUNIT_TEST(longTextsAreRefusedWithAShortMessage);
    CPPUNIT_TEST(missingFieldsAndOtherTypesAreRefused);
    CPPUNIT_TEST(idsThatAreNoHeaderValueAreRefused);
    CPPUNIT_TEST(unknownFieldsAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a share of the requests for a server whose number of slots wrapped, and
    // against a start time that makes each other server at the address an earlier one.
    void numbersOutOfRangeAreRefused()
    {
        for (const char *slots : {"18446744073709551615", "9999999999999999999999", "1e400", "-7",
                                  "1.5", "1000001", "\"6\"", "null"})
            assertRefused(with("slots", slots));
        for (const char *born : {"18446744073709551615", "9999999999999999999999", "1e400", "-1",
                                 "9223372036854775807", "1.5", "\"today\""})
            assertRefused(with("born", born));
    }

    void addressesThatNameNoServerAreRefused()
    {
        for (const char *address :
             {"", "10.0.0.9", "10.0.0.9:", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:-1",
              "10.0.0.9:+80", "10.0.0.9:80/x", " 10.0.0.9:80", "10.0.0.256:80", "localhost:80",
              "0.0.0.0:80", "[::]:80", "[::ffff:0.0.0.0]:80", "224.0.0.1:80", "255.255.255.255:80",
              "[ff02::1]:80", "::1:80", "10.0.0.9\\u0000x:80"})
            assertRefused(with("address", '"' + std::string(address) + '"'));
        for (const char *address : {"127.0.0.1:1", "10.0.0.9:65535", "[::1]:80", "[fd00::9]:8080"})
            CPPUNIT_ASSERT_MESSAGE(
                address,
                platform::decodeServer("i-1", with("address", '"' + std::string(address) + '"'))
                    .isOk());
    }

    // Guards against ending by a stack overflow, and against the memory that a million values take.
    void deeplyNestedEntryIsRefused()
    {
        constexpr std::size_t depth = 500'000;
        assertRefused(std::string(2 * depth, '['));
        assertRefused(std::string(depth, '[') + std::string(depth, ']'));
        assertRefused(with("extra", std::string(depth, '[') + std::string(depth, ']')));
        assertRefused(with("extra", std::string(200, '[') + std::string(200, ']')));
        std::string objects;
        for (std::size_t i = 0; i < depth / 5; ++i)
            objects += R"({"a":)";
        assertRefused(objects + '1' + std::string(depth / 5, '}'));
    }

    // Guards against log lines of a megabyte.
    void longTextsAreRefusedWithAShortMessage()
    {
        const std::string text = '"' + std::string(500'000, 'x') + '"';
        const std::string shorter = '"' + std::string(1000, 'x') + '"';
        for (const char *name : {"service", "address", "zone", "state"}) {
            assertRefused(with(name, text));
            assertRefused(with(name, shorter));
        }
    }

    void missingFieldsAndOtherTypesAreRefused()
    {
        for (const char *name : {"service", "address", "zone", "slots", "state"}) {
            for (const char *value : {"null", "{}", "[[]]", "true"})
                assertRefused(with(name, value));
            json without = entry();
            without.erase(name);
            assertRefused(without.dump());
        }
        assertRefused(with("service", "\"\""));
        for (const char *state : {"\"Ready\"", "\"ready \"", "\"\""})
            assertRefused(with("state", state));
    }

    // Guards against an id that ends a header of the requests to the server and begins another.
    void idsThatAreNoHeaderValueAreRefused()
    {
        for (const std::string &id :
             {std::string(), std::string("i-1\r\nX: y"), std::string("i-1\n"),
              std::string("i\0", 2), std::string("i-\x7f"), std::string(1000, 'i')})
            CPPUNIT_ASSERT_MESSAGE(id, !platform::decodeServer(id, entry().dump()).isOk());
    }

    void unknownFieldsAreIgnored()
    {
        CPPUNIT_ASSERT(platform::decodeServer("i-1", with("extra", R"({"a":[[1e30,-5]]})")).isOk());
    }

private:
    static json entry()
    {
        return json::parse(R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","version":"v1",
            "slots":64,"state":"ready","cold_left_ms":0,"seq":4,"born":1700000000000})");
    }

    /// The entry with \a value, JSON text, in a field.
    static std::string with(const char *name, const std::string &value)
    {
        json document = entry();
        document[name] = "@";
        std::string text = document.dump();
        return text.replace(text.find("\"@\""), 3, value);
    }

    static void assertRefused(const std::string &text)
    {
        constexpr std::size_t maxMessageLength = 200;
        const auto server = platform::decodeServer("i-1", text);
        CPPUNIT_ASSERT_MESSAGE(text.substr(0, 300), !server.isOk());
        CPPUNIT_ASSERT(server.error().message.size() <= maxMessageLength);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerEntryTest);
