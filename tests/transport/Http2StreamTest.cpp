#include "Http2Fixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class Http2StreamTest : public Http2Fixture
{
    CPPUNIT_TEST_SUITE(Http2StreamTest);
    CPPUNIT_TEST(echoesManyConcurrentStreams);
    CPPUNIT_TEST(headReachesTheServer);
    CPPUNIT_TEST(bytesBeforeOnDataAreBuffered);
    CPPUNIT_TEST(sidesFinishIndependently);
    CPPUNIT_TEST(resetByTheClientReachesTheServer);
    CPPUNIT_TEST(resetByTheServerReachesTheClient);
    CPPUNIT_TEST(manyResetsDoNotCloseTheConnection);
    CPPUNIT_TEST(messagesLargerThanTheWindowArrive);
    CPPUNIT_TEST(unreadStreamDoesNotBlockOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void echoesManyConcurrentStreams()
    {
        start(echo);
        constexpr int count = 3000;
        std::vector<StreamLog> logs(count);
        std::vector<StreamPointer> streams;
        for (StreamLog &log : logs) {
            streams.push_back(m_client->open("/echo"));
            log.follow(*streams.back());
        }
        for (int part = 0; part < 5; ++part) {
            for (int i = 0; i < count; ++i)
                streams[i]->send(std::to_string(i * 10 + part) + ' ');
        }
        for (const auto &stream : streams)
            stream->finish();
        for (int i = 0; i < count; ++i) {
            CPPUNIT_ASSERT_EQUAL(ended, logs[i].next());
            CPPUNIT_ASSERT_EQUAL(ok, logs[i].next());
            std::string expected;
            for (int part = 0; part < 5; ++part)
                expected += std::to_string(i * 10 + part) + ' ';
            CPPUNIT_ASSERT_EQUAL(expected, logs[i].data());
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), streams[i]->pendingBytes());
        }
    }

    void headReachesTheServer()
    {
        start();
        const auto stream = m_client->open("/path?x=1", {{"traceparent", "00-1"}});
        const auto accepted = m_accepted.take();
        CPPUNIT_ASSERT_EQUAL(std::string("/path?x=1"), std::string(accepted->path()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), accepted->headers().size());
        CPPUNIT_ASSERT_EQUAL(std::string("00-1"), accepted->headers()[0].value);
    }

    // Frames must not be lost while a handler hands the stream to another thread.
    void bytesBeforeOnDataAreBuffered()
    {
        start();
        StreamLog client;
        const auto stream = m_client->open("/");
        client.follow(*stream);
        stream->send("one,");
        stream->send("two");
        stream->finish();
        const auto accepted = m_accepted.take();
        StreamLog server;
        accepted->send("answer");
        accepted->finish();
        CPPUNIT_ASSERT_EQUAL(ended, client.next());
        CPPUNIT_ASSERT_EQUAL(ok, client.next());
        server.follow(*accepted);
        CPPUNIT_ASSERT_EQUAL(ended, server.next());
        CPPUNIT_ASSERT_EQUAL(ok, server.next());
        CPPUNIT_ASSERT_EQUAL(std::string("one,two"), server.data());
    }

    void sidesFinishIndependently()
    {
        start();
        StreamLog client;
        StreamLog server;
        const auto stream = m_client->open("/");
        client.follow(*stream);
        const auto accepted = m_accepted.take();
        server.follow(*accepted);
        accepted->send("early answer");
        accepted->finish();
        CPPUNIT_ASSERT_EQUAL(ended, client.next());
        CPPUNIT_ASSERT_EQUAL(std::string("early answer"), client.data());
        stream->send("late request");
        stream->finish();
        CPPUNIT_ASSERT_EQUAL(ended, server.next());
        CPPUNIT_ASSERT_EQUAL(std::string("late request"), server.data());
        CPPUNIT_ASSERT_EQUAL(ok, client.next());
        CPPUNIT_ASSERT_EQUAL(ok, server.next());
    }

    // A cancelled generation must not go on at the sidecar.
    void resetByTheClientReachesTheServer()
    {
        start();
        StreamLog client;
        StreamLog server;
        const auto stream = m_client->open("/");
        client.follow(*stream);
        const auto accepted = m_accepted.take();
        server.follow(*accepted);
        stream->reset();
        stream->reset();
        CPPUNIT_ASSERT_EQUAL(lost, client.next());
        CPPUNIT_ASSERT_EQUAL(lost, server.next());
        accepted->send("too late");
        waitUntil([&] { return accepted->pendingBytes() == 0; });
        CPPUNIT_ASSERT(client.hasNoEvent());
    }

    void resetByTheServerReachesTheClient()
    {
        start();
        StreamLog client;
        const auto stream = m_client->open("/");
        client.follow(*stream);
        const auto accepted = m_accepted.take();
        stream->finish();
        accepted->send("part");
        accepted->reset();
        CPPUNIT_ASSERT_EQUAL(lost, client.next());
        CPPUNIT_ASSERT(client.hasNoEvent());
    }

    // nghttp2's default limit on resets would close the connection with all its streams.
    void manyResetsDoNotCloseTheConnection()
    {
        start(echo);
        StreamLog kept;
        const auto stream = m_client->open("/");
        kept.follow(*stream);
        std::vector<StreamLog> logs(4000);
        for (StreamLog &log : logs) {
            const auto cancelled = m_client->open("/");
            log.follow(*cancelled);
            cancelled->send("x");
            cancelled->reset();
        }
        for (StreamLog &log : logs)
            CPPUNIT_ASSERT_EQUAL(lost, log.next());
        stream->send("still there");
        stream->finish();
        CPPUNIT_ASSERT_EQUAL(ended, kept.next());
        CPPUNIT_ASSERT_EQUAL(ok, kept.next());
        CPPUNIT_ASSERT_EQUAL(std::string("still there"), kept.data());
    }

    void messagesLargerThanTheWindowArrive()
    {
        start(echo);
        std::string message;
        message.resize(40'000'000, 'm');
        StreamLog log;
        const auto stream = m_client->open("/");
        log.follow(*stream);
        stream->send(message);
        stream->finish();
        CPPUNIT_ASSERT_EQUAL(ended, log.next());
        CPPUNIT_ASSERT(log.data() == message);
    }

    // A slow consumer must not buffer without limit or block the other streams.
    void unreadStreamDoesNotBlockOthers()
    {
        start([this](const StreamPointer &stream) {
            if (stream->path() == "/unread")
                m_accepted.put(stream);
            else
                echo(stream);
        });
        constexpr std::size_t sent = 8'000'000;
        std::vector<StreamPointer> unread;
        for (int i = 0; i < 20; ++i) {
            unread.push_back(m_client->open("/unread"));
            unread.back()->send(std::string(sent, 'u'));
            unread.back()->finish();
        }
        StreamLog log;
        const auto stream = m_client->open("/echo");
        log.follow(*stream);
        stream->send("hello");
        stream->finish();
        CPPUNIT_ASSERT_EQUAL(ended, log.next());
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), log.data());
        for (const auto &held : unread)
            CPPUNIT_ASSERT(held->pendingBytes() > sent - 2'000'000);
        StreamLog server;
        server.follow(*m_accepted.take());
        CPPUNIT_ASSERT_EQUAL(ended, server.next());
        CPPUNIT_ASSERT_EQUAL(sent, server.data().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Http2StreamTest);
