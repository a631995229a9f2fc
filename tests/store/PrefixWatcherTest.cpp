#include "foxtailring/store/PrefixWatcher.h"

#include "foxtailring/store/KeyValueClient.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <vector>

using namespace foxtailring;

namespace {

class Watched : public Http1Stream
{
public:
    void cancel() override { }
};

struct Opened
{
    std::int64_t revision = 0;
    WatchHooks hooks;
};

// A store whose reads and watches the test answers one by one.
class ScriptedStore : public KeyValueClient
{
public:
    void get(const std::string &, RangeHook) override { }
    void range(const std::string &, RangeHook hook) override { reads.put(std::move(hook)); }
    void compareAndSwap(const std::string &, const std::string &, std::int64_t, WriteHook,
                        std::int64_t) override
    {
    }
    void compareAndDelete(const std::string &, std::int64_t, WriteHook) override { }
    void grantLease(std::chrono::seconds, LeaseHook) override { }
    void keepAlive(std::int64_t, LeaseHook) override { }
    std::shared_ptr<Http1Stream> watch(const std::string &, std::int64_t revision,
                                       WatchHooks hooks) override
    {
        watches.put({revision, std::move(hooks)});
        return std::make_shared<Watched>();
    }

    Mailbox<RangeHook> reads;
    Mailbox<Opened> watches;
};

} // namespace

class PrefixWatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrefixWatcherTest);
    CPPUNIT_TEST(watchesFromTheRevisionRead);
    CPPUNIT_TEST(readIsAProofOfItsOwn);
    CPPUNIT_TEST(changesAreReportedOnce);
    CPPUNIT_TEST(endedWatchGoesOnFromTheLastChange);
    CPPUNIT_TEST(compactedHistoryIsReadAgain);
    CPPUNIT_TEST(silentWatchIsOpenedAgain);
    CPPUNIT_TEST(eventsOfAnOldWatchAreDropped);
    CPPUNIT_TEST(lossAndReturnAreToldOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.emplace(2);
        m_store.emplace();
    }

    void tearDown() override
    {
        m_follower.reset();
        m_pool->stop();
        m_pool.reset();
        m_store.reset();
    }

    void watchesFromTheRevisionRead()
    {
        start(std::chrono::hours(1));
        m_store->reads.take()(RangeResult {7, {{"k", "v", 3}}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), m_store->watches.take().revision);
        CPPUNIT_ASSERT_EQUAL(std::string("k=v"), m_seen.take());
    }

    // Guards against callers that are refused after a start until the first poll is answered.
    void readIsAProofOfItsOwn()
    {
        const TimePoint before = bootClock()();
        start(std::chrono::hours(1));
        m_store->reads.take()(RangeResult {7, {}});
        CPPUNIT_ASSERT(m_proofs.take() >= before);
    }

    // A store that answers late, or again, must not take anything back.
    void changesAreReportedOnce()
    {
        const Opened watch = open();
        watch.hooks.onChanges(std::vector<WatchEvent> {event("a", 8), event("b", 9)}, 9);
        CPPUNIT_ASSERT_EQUAL(std::string("a@8 b@9 "), m_seen.take());
        watch.hooks.onChanges(std::vector<WatchEvent> {event("b", 9), event("c", 10)}, 10);
        CPPUNIT_ASSERT_EQUAL(std::string("c@10 "), m_seen.take());
    }

    void endedWatchGoesOnFromTheLastChange()
    {
        const Opened watch = open();
        watch.hooks.onChanges(std::vector<WatchEvent> {event("a", 9)}, 12);
        watch.hooks.onEnded({ErrorCode::Closed, "cut"});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), m_store->watches.take().revision);
    }

    void compactedHistoryIsReadAgain()
    {
        open().hooks.onEnded({ErrorCode::Stale, "history is gone"});
        m_store->reads.take()(RangeResult {20, {}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(21), m_store->watches.take().revision);
    }

    // Guards against a connection that went silent and is never noticed.
    void silentWatchIsOpenedAgain()
    {
        start(std::chrono::milliseconds(20));
        m_store->reads.take()(RangeResult {7, {}});
        m_store->watches.take();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), m_store->watches.take().revision);
    }

    void eventsOfAnOldWatchAreDropped()
    {
        const Opened old = open();
        old.hooks.onEnded({ErrorCode::Closed, "cut"});
        const Opened present = m_store->watches.take();
        old.hooks.onChanges(std::vector<WatchEvent> {event("old", 8)}, 8);
        present.hooks.onChanges(std::vector<WatchEvent> {event("new", 9)}, 9);
        CPPUNIT_ASSERT_EQUAL(std::string("new@9 "), m_seen.take());
    }

    void lossAndReturnAreToldOnce()
    {
        start(std::chrono::hours(1));
        m_store->reads.take()(Error {ErrorCode::Timeout, "no answer"});
        m_store->reads.take()(Error {ErrorCode::Timeout, "no answer"});
        m_store->reads.take()(RangeResult {7, {}});
        m_store->watches.take();
        CPPUNIT_ASSERT_EQUAL(std::string("lost"), m_states.take());
        CPPUNIT_ASSERT_EQUAL(std::string("followed"), m_states.take());
        CPPUNIT_ASSERT(m_states.isEmpty());
    }

private:
    static WatchEvent event(const std::string &key, std::int64_t revision)
    {
        return {false, {key, "v", revision}};
    }

    void start(std::chrono::milliseconds idleTimeout)
    {
        PrefixWatcherHooks hooks;
        hooks.onSnapshot = [this](const RangeResult &read) {
            for (const KeyValue &pair : read.pairs)
                m_seen.put(pair.key + '=' + pair.value);
            return true;
        };
        hooks.onChanges = [this](std::span<const WatchEvent> events) {
            std::string text;
            for (const WatchEvent &one : events)
                text += one.pair.key + '@' + std::to_string(one.pair.modRevision) + ' ';
            m_seen.put(text);
            return true;
        };
        hooks.onConfirmed = [this](TimePoint askedAt) { m_proofs.put(askedAt); };
        hooks.onUnavailable = [this](const Error &) { m_states.put("lost"); };
        hooks.onAvailable = [this] { m_states.put("followed"); };
        m_follower.emplace(*m_pool, *m_store, "", PrefixWatcher::Settings {idleTimeout}, hooks);
        m_follower->start();
    }

    Opened open()
    {
        start(std::chrono::hours(1));
        m_store->reads.take()(RangeResult {7, {}});
        return m_store->watches.take();
    }

    std::optional<WorkerPool> m_pool;
    std::optional<ScriptedStore> m_store;
    std::optional<PrefixWatcher> m_follower;
    Mailbox<std::string> m_seen;
    Mailbox<std::string> m_states;
    Mailbox<TimePoint> m_proofs;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixWatcherTest);
