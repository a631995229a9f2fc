#include "TestEntry.h"

using namespace foxtailring;

void TestEntry::listen()
{
    m_stream->onData([shared = m_shared](std::string_view bytes) {
        shared->waiting.change([&] {
            const auto frames = shared->reader.feed(bytes);
            if (frames)
                shared->frames.insert(shared->frames.end(), frames.value().begin(),
                                      frames.value().end());
        });
    });
    m_stream->onEnd(
        [shared = m_shared] { shared->waiting.change([&] { shared->closed = true; }); });
    m_stream->onClosed([shared = m_shared](const Result<Done> &) {
        shared->waiting.change([&] { shared->closed = true; });
    });
}

Frame TestEntry::nextFrame(MessageType type)
{
    Frame frame;
    const bool found = m_shared->waiting.until([&] {
        while (m_next < m_shared->frames.size()) {
            frame = m_shared->frames[m_next++];
            if (frame.type == type)
                return true;
        }
        return false;
    });
    CPPUNIT_ASSERT_MESSAGE("no message of type " + std::to_string(static_cast<int>(type)), found);
    return frame;
}

bool TestEntry::hasArrived(MessageType type)
{
    bool found = false;
    m_shared->waiting.change([&] {
        for (std::size_t i = m_next; i < m_shared->frames.size(); ++i)
            found = found || m_shared->frames[i].type == type;
    });
    return found;
}

bool TestEntry::waitForClose()
{
    return m_shared->waiting.until([&] { return m_shared->closed; });
}
