#include "foxtailring/decisions/servers/ServerMemory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace foxtailring;
using std::chrono::seconds;

// Large requests to servers with little memory, whose size nothing tells.
class ServerMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerMemoryTest);
    CPPUNIT_TEST(serversAreNotLimitedWithoutEvidence);
    CPPUNIT_TEST(crashUnderLargeRequestsLimitsTheService);
    CPPUNIT_TEST(crashWithFewBytesProvesNothing);
    CPPUNIT_TEST(crashBelowWhatServersHeldProvesNothing);
    CPPUNIT_TEST(secondCrashBelowWhatServersHeldCounts);
    CPPUNIT_TEST(refusalOfALargeRequestLimitsTheService);
    CPPUNIT_TEST(answerUnderMoreBytesRaisesTheLimit);
    CPPUNIT_TEST(limitEndsWithoutNewEvidence);
    CPPUNIT_TEST(anEmptyServerGetsAnyRequest);
    CPPUNIT_TEST(smallRequestsAreNotLimited);
    CPPUNIT_TEST_SUITE_END();

public:
    void serversAreNotLimitedWithoutEvidence()
    {
        hold("s1", 100);
        CPPUNIT_ASSERT(hasRoom("s1"));
        CPPUNIT_ASSERT(!m_memory.limit("models", m_now));
    }

    // Guards against servers that crash one after the other because each gets as many bytes as the
    // one before.
    void crashUnderLargeRequestsLimitsTheService()
    {
        hold("s1", 8);
        m_memory.recordCrash("s1", m_now);
        release("s1", 1);
        m_memory.recordCrash("s1", m_now);
        release("s1", 7);
        CPPUNIT_ASSERT_EQUAL(6 * part, m_memory.limit("models", m_now).value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_limits.size());
        hold("s2", 5);
        CPPUNIT_ASSERT(hasRoom("s2"));
        hold("s2", 1);
        CPPUNIT_ASSERT(!hasRoom("s2"));
        CPPUNIT_ASSERT(hasRoom("s3"));
        CPPUNIT_ASSERT(!m_memory.limit("others", m_now));
    }

    // Servers crash for other reasons. Guards against a limit that keeps large requests away then.
    void crashWithFewBytesProvesNothing()
    {
        m_memory.startRequest("models", "s1", ServerMemory::minEvidenceBytes - 1);
        m_memory.recordCrash("s1", m_now);
        CPPUNIT_ASSERT(!m_memory.limit("models", m_now));
    }

    void crashBelowWhatServersHeldProvesNothing()
    {
        hold("s1", 8);
        m_memory.recordAnswer("s1", m_now);
        hold("s2", 8);
        m_memory.recordCrash("s2", m_now);
        CPPUNIT_ASSERT(!m_memory.limit("models", m_now));
    }

    // Guards against a release with smaller servers, all of which crash.
    void secondCrashBelowWhatServersHeldCounts()
    {
        crashBelowWhatServersHeldProvesNothing();
        hold("s3", 8);
        m_memory.recordCrash("s3", m_now);
        CPPUNIT_ASSERT_EQUAL(6 * part, m_memory.limit("models", m_now).value());
    }

    void refusalOfALargeRequestLimitsTheService()
    {
        hold("s1", 4);
        m_memory.recordRefusal("s1", 600, m_now);
        CPPUNIT_ASSERT(!m_memory.limit("models", m_now));
        m_memory.recordRefusal("s1", part, m_now);
        CPPUNIT_ASSERT_EQUAL(3 * part, m_memory.limit("models", m_now).value());
    }

    void answerUnderMoreBytesRaisesTheLimit()
    {
        refusalOfALargeRequestLimitsTheService();
        hold("s2", 5);
        m_memory.recordAnswer("s2", m_now);
        CPPUNIT_ASSERT_EQUAL(5 * part, m_memory.limit("models", m_now).value());
    }

    // Guards against a crash for another reason that limits a service for good.
    void limitEndsWithoutNewEvidence()
    {
        refusalOfALargeRequestLimitsTheService();
        CPPUNIT_ASSERT_EQUAL(6 * part, m_memory.limit("models", m_now + seconds(31)).value());
        CPPUNIT_ASSERT(!m_memory.limit("models", m_now + seconds(151)));
    }

    // Guards against a request that no server ever gets.
    void anEmptyServerGetsAnyRequest()
    {
        refusalOfALargeRequestLimitsTheService();
        CPPUNIT_ASSERT(m_memory.hasRoom("models", "s2", 100 * part, m_now));
    }

    void smallRequestsAreNotLimited()
    {
        refusalOfALargeRequestLimitsTheService();
        CPPUNIT_ASSERT(!hasRoom("s1"));
        CPPUNIT_ASSERT(m_memory.hasRoom("models", "s1", 8000, m_now));
    }

private:
    static constexpr std::size_t part = std::size_t {1024} * 1024;

    void hold(const std::string &server, int requests)
    {
        for (int i = 0; i < requests; ++i)
            m_memory.startRequest("models", server, part);
    }

    void release(const std::string &server, int requests)
    {
        for (int i = 0; i < requests; ++i)
            m_memory.endRequest(server, part);
    }

    bool hasRoom(const std::string &server) const
    {
        return m_memory.hasRoom("models", server, part, m_now);
    }

    const TimePoint m_now {std::chrono::hours(1)};
    std::vector<std::optional<std::size_t>> m_limits;
    ServerMemory m_memory {
        [this](std::string_view, std::optional<std::size_t> limit) { m_limits.push_back(limit); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerMemoryTest);
