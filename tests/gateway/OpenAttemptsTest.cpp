#include "OpenAttempts.h"

#include "foxtailring/transport/Http1Stream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

using namespace foxtailring;

class OpenAttemptsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OpenAttemptsTest);
    CPPUNIT_TEST(nextAttemptEndsTheOneBefore);
    CPPUNIT_TEST(keptAttemptGoesOnAsTheFallback);
    CPPUNIT_TEST(resumedFallbackEndsItsReplacement);
    CPPUNIT_TEST(laterFallbackEndsTheEarlierOne);
    CPPUNIT_TEST(endedAttemptKeepsWhatHasArrived);
    CPPUNIT_TEST(droppedAttemptHoldsNoBytes);
    CPPUNIT_TEST(noAttemptHasTheNumberOfNone);
    CPPUNIT_TEST(pendingBytesAreThoseOfBoth);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two servers that work on one call that may not be repeated.
    void nextAttemptEndsTheOneBefore()
    {
        const auto first = begin("a");
        const auto second = begin("b");
        CPPUNIT_ASSERT(first->isCancelled);
        CPPUNIT_ASSERT(!second->isCancelled);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_attempts.count());
        CPPUNIT_ASSERT(m_attempts.isCurrent(2) && !m_attempts.isCurrent(1));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), m_attempts.current().serverId);
    }

    void keptAttemptGoesOnAsTheFallback()
    {
        const auto first = begin("a");
        m_attempts.keepCurrent();
        const auto second = begin("b");
        CPPUNIT_ASSERT(!first->isCancelled && !second->isCancelled);
        CPPUNIT_ASSERT(m_attempts.hasFallback());
        CPPUNIT_ASSERT(m_attempts.isFallback(1) && m_attempts.isCurrent(2));
        m_attempts.endFallback();
        CPPUNIT_ASSERT(first->isCancelled && !second->isCancelled);
        CPPUNIT_ASSERT(!m_attempts.hasFallback() && !m_attempts.isFallback(1));
    }

    // Guards against a replacement that goes on beside the attempt that is used again.
    void resumedFallbackEndsItsReplacement()
    {
        const auto first = begin("a");
        m_attempts.keepCurrent();
        const auto second = begin("b");
        m_attempts.resumeFallback();
        CPPUNIT_ASSERT(!first->isCancelled && second->isCancelled);
        CPPUNIT_ASSERT(m_attempts.isCurrent(1) && !m_attempts.hasFallback());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_attempts.current().serverId);
        begin("c");
        CPPUNIT_ASSERT(m_attempts.isCurrent(3));
    }

    void laterFallbackEndsTheEarlierOne()
    {
        const auto first = begin("a");
        m_attempts.keepCurrent();
        const auto second = begin("b");
        m_attempts.keepCurrent();
        CPPUNIT_ASSERT(first->isCancelled && !second->isCancelled);
        CPPUNIT_ASSERT(m_attempts.isFallback(2));
    }

    // The end of a request is logged with its latest server, and its answer may be passed on.
    void endedAttemptKeepsWhatHasArrived()
    {
        const auto first = begin("a");
        m_attempts.current().body = "answer";
        m_attempts.endCurrent();
        m_attempts.endCurrent();
        CPPUNIT_ASSERT(first->isCancelled);
        CPPUNIT_ASSERT(!m_attempts.isCurrent(1));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_attempts.current().serverId);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), m_attempts.current().body);
    }

    // Guards against memory that the answer of a faulty server takes while the next server is
    // looked for.
    void droppedAttemptHoldsNoBytes()
    {
        const auto first = begin("a");
        m_attempts.current().body = "answer";
        m_attempts.current().events.feed("id: 1", [](auto, std::string_view) {});
        m_attempts.dropCurrent();
        CPPUNIT_ASSERT(first->isCancelled);
        CPPUNIT_ASSERT(!m_attempts.isCurrent(1));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_attempts.current().serverId);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_attempts.pendingBytes());
    }

    // Guards against bytes of an attempt that has ended which count as those of the fallback.
    void noAttemptHasTheNumberOfNone()
    {
        CPPUNIT_ASSERT(!m_attempts.hasFallback());
        CPPUNIT_ASSERT(!m_attempts.isFallback(0));
        begin("a");
        m_attempts.endCurrent();
        CPPUNIT_ASSERT(!m_attempts.isFallback(m_attempts.current().number));
    }

    void pendingBytesAreThoseOfBoth()
    {
        begin("a");
        m_attempts.current().body = "12345";
        m_attempts.keepCurrent();
        begin("b");
        m_attempts.current().events.feed("id: 1", [](auto, std::string_view) {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), m_attempts.pendingBytes());
        m_attempts.endFallback();
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), m_attempts.pendingBytes());
    }

private:
    class Stream : public Http1Stream
    {
    public:
        void cancel() override { isCancelled = true; }

        bool isCancelled = false;
    };

    std::shared_ptr<Stream> begin(const std::string &serverId)
    {
        auto stream = std::make_shared<Stream>();
        m_attempts.begin(serverId, {"127.0.0.1", 1}).stream = stream;
        return stream;
    }

    OpenAttempts m_attempts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenAttemptsTest);
