#pragma once

#include "foxtailring/protocol/Frame.h"
#include "foxtailring/protocol/FrameReader.h"
#include "foxtailring/transport/Http2Client.h"
#include "foxtailring/transport/Http2Stream.h"
#include "Waiting.h"

#include <cppunit/TestAssert.h>
#include <memory>
#include <vector>

/// \brief One stream of an entry to the sidecar under test.
class TestEntry
{
public:
    template <typename Message>
    TestEntry(foxtailring::Http2Client &client, const std::string &path, const Message &first)
        : m_stream(client.open(path))
    {
        listen();
        send(first);
    }

    template <typename Message>
    void send(const Message &message)
    {
        m_stream->send(foxtailring::encodeMessage(message));
    }
    void reset() { m_stream->reset(); }

    /// \brief The next message of that type, once it has arrived; messages before it are skipped.
    template <typename Message>
    Message next()
    {
        const auto message = foxtailring::decodeMessage<Message>(nextFrame(Message::type));
        CPPUNIT_ASSERT(message.isOk());
        return message.value();
    }
    /// \brief True when a message of that type has arrived so far and was not skipped.
    bool hasArrived(foxtailring::MessageType type);
    bool waitForClose();

private:
    struct Shared
    {
        Waiting waiting; // guards all below
        foxtailring::FrameReader reader;
        std::vector<foxtailring::Frame> frames;
        bool closed = false;
    };

    void listen();
    foxtailring::Frame nextFrame(foxtailring::MessageType type);

    const std::shared_ptr<foxtailring::Http2Stream> m_stream;
    const std::shared_ptr<Shared> m_shared = std::make_shared<Shared>();
    std::size_t m_next = 0;
};
