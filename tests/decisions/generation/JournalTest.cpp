#include "foxtailring/decisions/generation/Journal.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class JournalTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JournalTest);
    CPPUNIT_TEST(readsFromAnyOffsetUpToTheEnd);
    CPPUNIT_TEST(otherAccountIsRefused);
    CPPUNIT_TEST(dropsOnlyAcknowledgedAndEndedRecords);
    CPPUNIT_TEST(endedRecordExpiresAfterRetention);
    CPPUNIT_TEST(nothingIsAppendedAfterTheEnd);
    CPPUNIT_TEST(evictsEndedThenAcknowledgedButNeverUnacknowledged);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start = TimePoint() + 1h;
    const AttemptId m_id {"r1", 1};

    static std::vector<Token> tokens(std::size_t count, std::int64_t first = 0)
    {
        std::vector<Token> out;
        for (std::size_t i = 0; i < count; ++i)
            out.push_back(Token {first + static_cast<std::int64_t>(i), "t"});
        return out;
    }

    static AttemptEnd finished() { return {true, 0, "stop", ErrorCode::Internal}; }

public:
    // Guards against a returning caller that gets a token twice or not at all.
    void readsFromAnyOffsetUpToTheEnd()
    {
        Journal journal({});
        CPPUNIT_ASSERT(journal.open(m_id, "acme", tokens(3)).isOk());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), journal.append(m_id, tokens(2, 3)).value());
        journal.end(m_id, finished(), m_start);
        for (std::uint64_t from = 0; from <= 5; ++from) {
            const auto slice = journal.read(m_id, from, 100).value();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), slice.nextOffset());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), slice.end->nextOffset);
            if (!slice.tokens.empty())
                CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(from), slice.tokens.front().id);
        }
        CPPUNIT_ASSERT(!journal.read(m_id, 0, 4).value().end);
        CPPUNIT_ASSERT(journal.read(m_id, 6, 1).error().code == ErrorCode::InvalidArgument);
    }

    // Guards against a client account reading another one's answer.
    void otherAccountIsRefused()
    {
        Journal journal({});
        CPPUNIT_ASSERT(journal.open(m_id, "acme", {}).isOk());
        CPPUNIT_ASSERT(journal.checkAttach(m_id, "acme", 0).isOk());
        CPPUNIT_ASSERT(journal.checkAttach(m_id, "evil", 0).error().code == ErrorCode::Forbidden);
        CPPUNIT_ASSERT(journal.checkAttach({"r2", 1}, "acme", 0).error().code
                       == ErrorCode::NotFound);
    }

    // Guards against losing an answer whose entry crashed before the caller had every token.
    void dropsOnlyAcknowledgedAndEndedRecords()
    {
        Journal journal({});
        CPPUNIT_ASSERT(journal.open(m_id, "acme", {}).isOk());
        CPPUNIT_ASSERT(journal.append(m_id, tokens(2)).isOk());
        journal.acknowledge(m_id, 2, false);
        CPPUNIT_ASSERT(journal.read(m_id, 0, 9).isOk());
        journal.end(m_id, finished(), m_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), journal.unacknowledgedCount());
        journal.acknowledge(m_id, 2, true);
        CPPUNIT_ASSERT(!journal.contains(m_id));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), journal.bytes());
    }

    void endedRecordExpiresAfterRetention()
    {
        Journal journal({10s, 1'000'000});
        CPPUNIT_ASSERT(journal.open(m_id, "acme", {}).isOk());
        journal.expire(m_start + 1h);
        CPPUNIT_ASSERT(journal.contains(m_id));
        journal.end(m_id, finished(), m_start);
        journal.expire(m_start + 9s);
        CPPUNIT_ASSERT(journal.contains(m_id));
        journal.expire(m_start + 10s);
        CPPUNIT_ASSERT(!journal.contains(m_id));
    }

    // Guards against delayed tokens of a cancelled engine stream that change an ended answer.
    void nothingIsAppendedAfterTheEnd()
    {
        Journal journal({});
        CPPUNIT_ASSERT(journal.open(m_id, "acme", {}).isOk());
        journal.end(m_id, {false, 0, "cancelled", ErrorCode::Closed}, m_start);
        journal.end(m_id, finished(), m_start);
        CPPUNIT_ASSERT(journal.append(m_id, tokens(1)).error().code == ErrorCode::Closed);
        CPPUNIT_ASSERT(!journal.read(m_id, 0, 1).value().end->finished);
    }

    // Guards against unbounded memory, and against dropping tokens that exist nowhere else.
    void evictsEndedThenAcknowledgedButNeverUnacknowledged()
    {
        const std::size_t one = sizeof(Token) + 1;
        Journal journal({1h, 10 * one});
        const AttemptId ended {"r0", 1};
        CPPUNIT_ASSERT(journal.open(ended, "acme", tokens(4)).isOk());
        journal.end(ended, finished(), m_start);
        CPPUNIT_ASSERT(journal.open(m_id, "acme", {}).isOk());
        CPPUNIT_ASSERT(journal.append(m_id, tokens(7)).isOk());
        CPPUNIT_ASSERT(!journal.contains(ended));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), journal.evictedTokens());

        journal.acknowledge(m_id, 5, false);
        CPPUNIT_ASSERT(journal.append(m_id, tokens(7, 7)).isOk());
        CPPUNIT_ASSERT_EQUAL(9 * one, journal.bytes());
        CPPUNIT_ASSERT(journal.checkAttach(m_id, "acme", 4).error().code == ErrorCode::Incomplete);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), journal.read(m_id, 5, 1).value().tokens.front().id);

        CPPUNIT_ASSERT(journal.append(m_id, tokens(2, 14)).isOk());
        CPPUNIT_ASSERT(journal.isFull());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(16), journal.read(m_id, 5, 99).value().nextOffset());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalTest);
