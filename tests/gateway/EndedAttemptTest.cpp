#include "GatewayFixture.h"

using namespace foxtailring;

// A stream whose attempt has ended while the next server is probed: engines make no copies here, so
// that candidates are asked for their load.
class EndedAttemptTest : public GatewayFixture
{
    CPPUNIT_TEST_SUITE(EndedAttemptTest);
    CPPUNIT_TEST(eventsAfterAnInvalidOneAreDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream that counts as complete although a part of it was unreadable, because
    // its server sent on while the next one was looked for.
    void eventsAfterAnInvalidOneAreDropped()
    {
        for (const std::string invalid :
             {"data: x\n\n", "id: x\ndata: x\n\n", "id: 9\ndata: x\n\n"}) {
            startGateway(std::chrono::milliseconds(20'000));
            startServing();
            call("/stream/x");
            ReceivedRequest first = m_received->take();
            first.responder->startStream(200, eventHeaders());
            first.responder->write(eventText(1) + invalid + eventText(2));
            first.responder->finish();
            waitUntil([this] { return !m_received->isEmpty() || !m_answers->isEmpty(); });
            CPPUNIT_ASSERT_MESSAGE(invalid, m_answers->isEmpty());
            ReceivedRequest second = m_received->take();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(invalid, std::string("1"),
                                         std::string(second.request.header("last")));
            second.responder->startStream(200, eventHeaders());
            second.responder->write(eventText(2) + eventText(3));
            second.responder->finish();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(invalid, eventText(1) + eventText(2) + eventText(3),
                                         m_answers->take().value().body);
        }
    }

private:
    StoreSchema schema() const override
    {
        StoreSchema out = GatewayFixture::schema();
        out.decodeConfig = [](std::string_view) -> Result<RouteConfig> {
            RouteConfig config = GatewayFixture::config();
            config.services.front().copiesContinuously = false;
            return config;
        };
        return out;
    }

    static std::vector<HttpHeader> eventHeaders()
    {
        return {{"Content-Type", "text/event-stream"}, {"signed", "1"}, {"id", "1"}};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndedAttemptTest);
