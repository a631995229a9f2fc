#include "KvJson.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace foxtailring;
using nlohmann::json;

namespace {

// Items that another writer may have left under the key "b".
const std::vector<std::string> oddItems {R"({"key":"b","value":"***","rev":5})",
                                         R"({"key":"b","value":"e30","rev":5})",
                                         R"({"key":"b","value":17,"rev":5})",
                                         R"({"key":"b","value":[[[[]]]],"rev":5})",
                                         R"({"key":"b","value":null,"rev":5})",
                                         R"({"key":"b","rev":5})",
                                         R"({"key":"b","value":"***"})",
                                         R"({"key":"b","value":"***","rev":18446744073709551615})",
                                         R"({"key":"b","value":"***","rev":9223372036854775807})",
                                         R"({"key":"b","value":"***","rev":-1})",
                                         R"({"key":"b","value":"***","rev":1.5})",
                                         R"({"key":"b","value":"***","rev":"5"})"};

// Items without a key.
const std::vector<std::string> namelessItems {
    R"({"value":"e30=","rev":5})", R"({"key":7,"value":"e30=","rev":5})", "[]", "null", "17"};

json replyWith(const char *list, const std::string &oddItem)
{
    const std::string text = R"({"as_of":9,"has_more":false,")" + std::string(list)
        + R"(":[{"key":"a","value":"dg==","rev":4},)" + oddItem
        + R"(,{"key":"c","value":"dw==","rev":6}]})";
    return json::parse(text);
}

} // namespace

class KvJsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KvJsonTest);
    CPPUNIT_TEST(oddItemDoesNotHideTheOthers);
    CPPUNIT_TEST(oddEventDoesNotHideTheOthers);
    CPPUNIT_TEST(itemsWithoutAKeyAreLeftOut);
    CPPUNIT_TEST(unreadableValueIsEmpty);
    CPPUNIT_TEST(pageThatCannotBeContinuedIsAnError);
    CPPUNIT_TEST(conflictWithAnUnreadableValueHasItsRevision);
    CPPUNIT_TEST(oddRevisionOfTheStoreIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reading the same page for ever because of one item.
    void oddItemDoesNotHideTheOthers()
    {
        for (const std::string &item : oddItems) {
            const auto page = platform::decodePage(replyWith("items", item));
            CPPUNIT_ASSERT_MESSAGE(item, page.isOk());
            const auto &pairs = page.value().pairs;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item, std::size_t(3), pairs.size());
            CPPUNIT_ASSERT_EQUAL(std::string("v"), pairs.at(0).value);
            CPPUNIT_ASSERT_EQUAL(std::string("b"), pairs.at(1).key);
            CPPUNIT_ASSERT_EQUAL(std::string("w"), pairs.at(2).value);
        }
    }

    // Guards against a watch that repeats the same poll for ever, or that takes all later changes
    // for old ones because one had too large a revision.
    void oddEventDoesNotHideTheOthers()
    {
        for (const std::string &item : oddItems) {
            const auto changes = platform::decodeChanges(replyWith("events", item));
            CPPUNIT_ASSERT_MESSAGE(item, changes.isOk());
            const auto &events = changes.value().events;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item, std::size_t(3), events.size());
            CPPUNIT_ASSERT_EQUAL(std::string("b"), events.at(1).pair.key);
            CPPUNIT_ASSERT_MESSAGE(
                item, events.at(1).pair.modRevision == 5 || events.at(1).pair.modRevision == 9);
            CPPUNIT_ASSERT_EQUAL(std::string("w"), events.at(2).pair.value);
        }
    }

    void itemsWithoutAKeyAreLeftOut()
    {
        for (const std::string &item : namelessItems) {
            const auto page = platform::decodePage(replyWith("items", item));
            CPPUNIT_ASSERT_MESSAGE(item, page.isOk());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item, std::size_t(2), page.value().pairs.size());
            const auto changes = platform::decodeChanges(replyWith("events", item));
            CPPUNIT_ASSERT_MESSAGE(item, changes.isOk());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item, std::size_t(2), changes.value().events.size());
        }
    }

    // Guards against keeping the earlier value of a key whose new one cannot be decoded.
    void unreadableValueIsEmpty()
    {
        const json item = json::parse(R"({"key":"b","value":"***","rev":5,"as_of":9})");
        const auto page = platform::decodeItem(item);
        CPPUNIT_ASSERT(page.isOk());
        CPPUNIT_ASSERT_EQUAL(std::string(), page.value().pairs.at(0).value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), page.value().pairs.at(0).modRevision);
    }

    // Guards against taking the pages read so far for the whole list.
    void pageThatCannotBeContinuedIsAnError()
    {
        const json page = json::parse(R"({"as_of":9,"has_more":true,"items":[{"rev":5}]})");
        CPPUNIT_ASSERT(!platform::decodePage(page).isOk());
    }

    void conflictWithAnUnreadableValueHasItsRevision()
    {
        const json reply = json::parse(R"({"items":[7,{"key":"b","value":"***","rev":5}]})");
        const auto current = platform::decodeConflict(reply, "b");
        CPPUNIT_ASSERT(current.isOk());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), current.value().modRevision);
    }

    // Guards against watching from a revision that the store never had.
    void oddRevisionOfTheStoreIsAnError()
    {
        for (const char *revision : {"18446744073709551615", "1e300", "\"9\"", "null"}) {
            const json reply =
                json::parse(R"({"items":[],"events":[],"as_of":)" + std::string(revision) + '}');
            CPPUNIT_ASSERT_MESSAGE(revision, !platform::decodePage(reply).isOk());
            CPPUNIT_ASSERT_MESSAGE(revision, !platform::decodeChanges(reply).isOk());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KvJsonTest);
