#include "KeyValueStore.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::fakes;
using std::chrono::seconds;

class KeyValueStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeyValueStoreTest);
    CPPUNIT_TEST(compareAndSwapAdmitsOneOfTwoWriters);
    CPPUNIT_TEST(createOnlyPutFailsForAnExistingKey);
    CPPUNIT_TEST(refusedTransactionChangesNothing);
    CPPUNIT_TEST(deletedKeyStartsAgainAtVersionOne);
    CPPUNIT_TEST(rangeReturnsPrefixAndCountsBeyondTheLimit);
    CPPUNIT_TEST(expiredLeaseDeletesItsKeys);
    CPPUNIT_TEST(keepAliveExtendsLease);
    CPPUNIT_TEST(putWithoutLeaseDetachesKey);
    CPPUNIT_TEST(watchHistoryIsInOrderAndByRange);
    CPPUNIT_TEST(droppedHistoryIsReportedAsCompacted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two claimers that both take one key.
    void compareAndSwapAdmitsOneOfTwoWriters()
    {
        put("k", "old");
        const std::int64_t read = m_store.revision();
        CPPUNIT_ASSERT(swap(Compare::Target::Mod, read, "first"));
        CPPUNIT_ASSERT(!swap(Compare::Target::Mod, read, "second"));
        CPPUNIT_ASSERT_EQUAL(std::string("first"), get("k").value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), get("k").version);
    }

    void createOnlyPutFailsForAnExistingKey()
    {
        CPPUNIT_ASSERT(swap(Compare::Target::Create, 0, "first"));
        CPPUNIT_ASSERT(!swap(Compare::Target::Create, 0, "second"));
        CPPUNIT_ASSERT(!swap(Compare::Target::Version, 0, "second"));
    }

    // Guards against half a transaction, and against values above 1 MiB.
    void refusedTransactionChangesNothing()
    {
        const std::int64_t before = m_store.revision();
        const std::string tooLarge(KeyValueStore::maxValueBytes + 1, 'x');
        const auto reply =
            m_store.transact({{}, {PutRequest {"a", "1"}, PutRequest {"b", tooLarge}}, {}});
        CPPUNIT_ASSERT(!reply);
        CPPUNIT_ASSERT(!m_store.apply(PutRequest {"a", "1", 77}));
        CPPUNIT_ASSERT_EQUAL(before, m_store.revision());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), get("a").version);
    }

    void deletedKeyStartsAgainAtVersionOne()
    {
        put("k", "1");
        put("k", "2");
        CPPUNIT_ASSERT(m_store.apply(DeleteRequest {{"k", ""}}));
        put("k", "3");
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), get("k").version);
        CPPUNIT_ASSERT_EQUAL(m_store.revision(), get("k").createRevision);
    }

    void rangeReturnsPrefixAndCountsBeyondTheLimit()
    {
        for (const char *key : {"a", "b/1", "b/2", "b/3", "c"})
            put(key, "v");
        const auto reply = m_store.apply(RangeRequest {{"b/", "b0"}, 2});
        CPPUNIT_ASSERT(reply);
        const auto &range = std::get<RangeReply>(reply.value().replies.front());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), range.keyValues.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b/1"), range.keyValues.front().key);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), range.count);
        CPPUNIT_ASSERT(range.more);
        const KeyRange fromB {"b", std::string(1, '\0')};
        CPPUNIT_ASSERT(fromB.contains("zz") && !fromB.contains("a"));
    }

    // Guards against a lease that keeps its keys after its holder was paused.
    void expiredLeaseDeletesItsKeys()
    {
        const std::int64_t lease = grant();
        CPPUNIT_ASSERT(m_store.apply(PutRequest {"k", "v", lease}));
        m_store.expire(m_start + seconds(9));
        CPPUNIT_ASSERT_EQUAL(lease, get("k").lease);
        m_store.expire(m_start + seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), get("k").version);
        CPPUNIT_ASSERT(!m_store.keepAlive(lease, m_start + seconds(10)));
        CPPUNIT_ASSERT(lastEvent().deleted);
    }

    void keepAliveExtendsLease()
    {
        const std::int64_t lease = grant();
        CPPUNIT_ASSERT(m_store.apply(PutRequest {"k", "v", lease}));
        CPPUNIT_ASSERT(m_store.keepAlive(lease, m_start + seconds(9)));
        m_store.expire(m_start + seconds(18));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), get("k").version);
        CPPUNIT_ASSERT(m_store.revoke(lease));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), get("k").version);
    }

    void putWithoutLeaseDetachesKey()
    {
        const std::int64_t lease = grant();
        CPPUNIT_ASSERT(m_store.apply(PutRequest {"k", "v", lease}));
        put("k", "kept");
        CPPUNIT_ASSERT(m_store.revoke(lease));
        CPPUNIT_ASSERT_EQUAL(std::string("kept"), get("k").value);
    }

    // Guards against watches that miss or reorder changes after they reconnect.
    void watchHistoryIsInOrderAndByRange()
    {
        put("a/1", "x");
        const std::int64_t from = m_store.revision() + 1;
        put("a/2", "y");
        put("b", "z");
        CPPUNIT_ASSERT(m_store.apply(DeleteRequest {{"a/", "a0"}}));
        const auto changes = m_store.changesFrom(from, {"a/", "a0"});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), changes.compactRevision);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), changes.events.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a/2"), changes.events[0].current.key);
        CPPUNIT_ASSERT(changes.events[1].deleted && changes.events[2].deleted);
        CPPUNIT_ASSERT_EQUAL(m_store.revision(), changes.events[2].current.modRevision);
    }

    // Guards against a gap in a watch that the watcher cannot notice.
    void droppedHistoryIsReportedAsCompacted()
    {
        for (std::size_t count = 0; count < historyEvents + 1; ++count)
            put("k", std::to_string(count));
        const std::int64_t firstKept = 3; // the first put has revision 2
        CPPUNIT_ASSERT_EQUAL(firstKept, m_store.changesFrom(2, {"k", ""}).compactRevision);
        const auto kept = m_store.changesFrom(firstKept, {"k", ""});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), kept.compactRevision);
        CPPUNIT_ASSERT_EQUAL(historyEvents, kept.events.size());
    }

private:
    static constexpr std::size_t historyEvents = 20;

    void put(const std::string &key, const std::string &value)
    {
        CPPUNIT_ASSERT(m_store.apply(PutRequest {key, value}));
    }

    bool swap(Compare::Target target, std::int64_t expected, const std::string &value)
    {
        const Compare compare {"k", target, Compare::Relation::Equal, expected, ""};
        const auto reply = m_store.transact({{compare}, {PutRequest {"k", value}}, {}});
        return reply && reply.value().succeeded;
    }

    KeyValue get(const std::string &key)
    {
        const auto reply = m_store.apply(RangeRequest {{key, ""}});
        const auto &found = std::get<RangeReply>(reply.value().replies.front()).keyValues;
        return found.empty() ? KeyValue() : found.front();
    }

    std::int64_t grant() { return m_store.grant(0, seconds(10), m_start).value(); }

    StoreEvent lastEvent()
    {
        return m_store.changesFrom(m_store.revision(), {"k", ""}).events.back();
    }

    KeyValueStore m_store {historyEvents};
    TimePoint m_start;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyValueStoreTest);
