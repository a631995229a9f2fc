#include "foxtailring/decisions/generation/GenerationRecords.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class GenerationRecordsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GenerationRecordsTest);
    CPPUNIT_TEST(keyIsBoundToOneBody);
    CPPUNIT_TEST(newestAttemptAndRequestWin);
    CPPUNIT_TEST(isBoundedByAgeAndCount);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start = TimePoint() + 1h;

    static GenerationRecord record(const std::string &key, const std::string &request,
                                   std::uint32_t attempt, const std::string &body = "b1")
    {
        return {"acme", key, body, request, attempt, "10.0.0.1:7000"};
    }

public:
    // Guards against a reused key that returns the answer to another request.
    void keyIsBoundToOneBody()
    {
        GenerationRecords records({});
        CPPUNIT_ASSERT(records.store(record("k", "r1", 1), m_start).isOk());
        const auto other = records.store(record("k", "r2", 1, "b2"), m_start);
        CPPUNIT_ASSERT(other.error().code == ErrorCode::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), records.find("acme", "k").value().requestId);
        CPPUNIT_ASSERT(records.find("other", "k").error().code == ErrorCode::NotFound);
    }

    // Guards against a delayed store that sends a returning caller to a replaced attempt.
    void newestAttemptAndRequestWin()
    {
        GenerationRecords records({});
        CPPUNIT_ASSERT(records.store(record("k", "r1", 2), m_start).isOk());
        const auto late = records.store(record("k", "r1", 1), m_start);
        CPPUNIT_ASSERT(late.error().code == ErrorCode::Stale);
        CPPUNIT_ASSERT(records.store(record("k", "r2", 1), m_start).isOk());
        CPPUNIT_ASSERT_EQUAL(std::string("r2"), records.find("acme", "k").value().requestId);
    }

    void isBoundedByAgeAndCount()
    {
        GenerationRecords records({1min, 2});
        CPPUNIT_ASSERT(records.store(record("k1", "r1", 1), m_start).isOk());
        CPPUNIT_ASSERT(records.store(record("k2", "r2", 1), m_start + 10s).isOk());
        CPPUNIT_ASSERT(records.store(record("k1", "r1", 2), m_start + 20s).isOk());
        CPPUNIT_ASSERT(records.store(record("k3", "r3", 1), m_start + 30s).isOk());
        CPPUNIT_ASSERT(!records.find("acme", "k2").isOk());
        records.expire(m_start + 80s);
        CPPUNIT_ASSERT(!records.find("acme", "k1").isOk());
        CPPUNIT_ASSERT(records.find("acme", "k3").isOk());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GenerationRecordsTest);
