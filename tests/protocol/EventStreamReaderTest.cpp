#include "foxtailring/protocol/EventStreamReader.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace foxtailring;

class EventStreamReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventStreamReaderTest);
    CPPUNIT_TEST(eventsAreFoundInChunksOfAnySize);
    CPPUNIT_TEST(partialEventIsBuffered);
    CPPUNIT_TEST(idIsReadAfterOtherFields);
    CPPUNIT_TEST(commentsAreSkipped);
    CPPUNIT_TEST(oversizedEventIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against events that are lost or merged when a blank line is split across reads.
    void eventsAreFoundInChunksOfAnySize()
    {
        const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
        for (std::size_t size = 1; size <= text.size(); ++size) {
            EventStreamReader reader;
            std::vector<std::int64_t> ids;
            std::string joined;
            for (std::size_t at = 0; at < text.size(); at += size) {
                reader.feed(std::string_view(text).substr(at, size),
                            [&](std::optional<std::int64_t> id, std::string_view event) {
                                ids.push_back(id.value());
                                joined += event;
                            });
            }
            CPPUNIT_ASSERT((ids == std::vector<std::int64_t> {1, 2}));
            CPPUNIT_ASSERT_EQUAL(text, joined);
            CPPUNIT_ASSERT(!reader.hasPartialEvent());
        }
    }

    // Guards against passing on an answer cut off inside an event as complete.
    void partialEventIsBuffered()
    {
        EventStreamReader reader;
        int events = 0;
        reader.feed("id: 1\ndata: a\n\nid: 2\ndata", [&](auto, auto) { ++events; });
        CPPUNIT_ASSERT_EQUAL(1, events);
        CPPUNIT_ASSERT(reader.hasPartialEvent());
    }

    void idIsReadAfterOtherFields()
    {
        EventStreamReader reader;
        std::optional<std::int64_t> found;
        const auto hook = [&](std::optional<std::int64_t> id, std::string_view) { found = id; };
        reader.feed("version: 3\ndata: id: 9\nid:12\n\n", hook);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(12), found.value());
        reader.feed("data: x\n\n", hook);
        CPPUNIT_ASSERT(!found);
        reader.feed("id: x1\n\n", hook);
        CPPUNIT_ASSERT(!found);
    }

    // Guards against closing a healthy stream because its server sends comments between events.
    void commentsAreSkipped()
    {
        EventStreamReader reader;
        int events = 0;
        const auto hook = [&events](std::optional<std::int64_t> id, std::string_view) {
            CPPUNIT_ASSERT(id);
            ++events;
        };
        reader.feed(": still here\n\n:\r\n\r\n\n\nid: 1\n: beside\ndata: x\n\n: bye\n\n", hook);
        CPPUNIT_ASSERT_EQUAL(1, events);
    }

    // Guards against unbounded memory when a faulty server sends an event without end.
    void oversizedEventIsRejected()
    {
        EventStreamReader reader;
        const std::string block(256 * 1024, 'x');
        bool isAccepted = true;
        for (int i = 0; i < 8; ++i)
            isAccepted = isAccepted && reader.feed(block, [](auto, auto) {});
        CPPUNIT_ASSERT(!isAccepted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventStreamReaderTest);
