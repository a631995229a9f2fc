#include "OutputQueue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace foxtailring;

class OutputQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutputQueueTest);
    CPPUNIT_TEST(bytesKeepTheirOrderInPartialWrites);
    CPPUNIT_TEST(payloadCountsUntilItsBatchIsWritten);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bytes that are sent twice, or not, when the socket takes a part of a write.
    void bytesKeepTheirOrderInPartialWrites()
    {
        m_queue.add("first ", 0);
        m_queue.startBatch();
        writePart(2);
        m_queue.add("second ", 0);
        m_queue.add("third", 0);
        writeBatch();
        CPPUNIT_ASSERT(m_queue.hasWaiting());
        m_queue.startBatch();
        CPPUNIT_ASSERT(!m_queue.hasWaiting());
        writeBatch();
        CPPUNIT_ASSERT_EQUAL(std::string("first second third"), m_written);
    }

    // Guards against a responder that is told of too little or too much that waits.
    void payloadCountsUntilItsBatchIsWritten()
    {
        m_queue.add("head and body", 4);
        m_queue.startBatch();
        m_queue.add("more", 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), m_queue.payloadBytes());
        writeBatch();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_queue.takeWrittenPayload());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_queue.payloadBytes());
    }

private:
    void writePart(std::size_t size)
    {
        const net::const_buffer rest = m_queue.rest();
        const std::size_t part = std::min(size, rest.size());
        m_written.append(static_cast<const char *>(rest.data()), part);
        CPPUNIT_ASSERT(m_queue.isWriting());
        m_queue.onWritten(part);
    }

    void writeBatch()
    {
        while (m_queue.isWriting())
            writePart(4);
    }

    OutputQueue m_queue;
    std::string m_written;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutputQueueTest);
