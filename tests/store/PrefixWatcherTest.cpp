#include "foxtailring/store/PrefixWatcher.h"

#include "foxtailring/store/KeyValueClient.h"
#include "foxtailring/transport/Http1Stream.h"
#include "foxtailring/transport/WorkerPool.h"
#include "Mailbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

using namespace foxtailring;

namespace {

class NullStream : public Http1Stream
{
public:
    void cancel() override { }
};

struct OpenedWatch
{
    std::int64_t revision = 0;
    std::int64_t epoch = 0;
    WatchHooks hooks;
};

// A store whose reads and watches the test answers one at a time.
class ScriptedStore : public KeyValueClient
{
public:
    void get(const std::string &, RangeHook) override { }
    void range(const std::string &, RangeHook hook) override { reads.put(std::move(hook)); }
    void compareAndSwap(const std::string &, const std::string &, StoreRevision, WriteHook,
                        StoreLease) override
    {
    }
    void compareAndDelete(const std::string &, StoreRevision, WriteHook) override { }
    void grantLease(std::chrono::seconds, LeaseHook) override { }
    void keepAlive(StoreLease, RenewalHook) override { }
    std::shared_ptr<Http1Stream> watch(const std::string &, StoreRevision from,
                                       WatchHooks hooks) override
    {
        watches.put({from.number, from.epoch, std::move(hooks)});
        return std::make_shared<NullStream>();
    }

    Mailbox<RangeHook> reads;
    Mailbox<OpenedWatch> watches;
};

} // namespace

class PrefixWatcherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrefixWatcherTest);
    CPPUNIT_TEST(watchesFromRevisionAfterRead);
    CPPUNIT_TEST(readConfirmsItself);
    CPPUNIT_TEST(changesAreReportedOnce);
    CPPUNIT_TEST(endedWatchIsReopenedAfterLastChange);
    CPPUNIT_TEST(compactedWatchReadsAllKeysAgain);
    CPPUNIT_TEST(restoredStoreIsReadAndWatchedInItsEpoch);
    CPPUNIT_TEST(lostHistoryIsReportedBeforeTheRead);
    CPPUNIT_TEST(historyThatIsLostAtEachWatchIsReadWithGrowingDelays);
    CPPUNIT_TEST(idleWatchIsReopened);
    CPPUNIT_TEST(eventsOfClosedWatchAreDropped);
    CPPUNIT_TEST(outageAndRecoveryAreReportedOnce);
    CPPUNIT_TEST(unusableSnapshotIsReadAgainWithGrowingDelays);
    CPPUNIT_TEST(readerThatIsBehindReadsTheState);
    CPPUNIT_TEST(replacedVersionsAreNotFollowed);
    CPPUNIT_TEST(historyIsFollowedIfTheStateCannotBeRead);
    CPPUNIT_TEST(smallAnswersBehindAreFollowed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_pool.emplace(2);
        m_store.emplace();
    }

    void tearDown() override
    {
        m_watcher.reset();
        m_pool->stop();
        m_pool.reset();
        m_store.reset();
    }

    void watchesFromRevisionAfterRead()
    {
        start(std::chrono::hours(1));
        m_store->reads.take()(RangeResult {7, {{"k", "v", 3}}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), m_store->watches.take().revision);
        CPPUNIT_ASSERT_EQUAL(std::string("k=v"), m_reports.take());
    }

    // Guards against refusing callers after a start until the first poll is answered: the initial
    // read already shows that the keys are current.
    void readConfirmsItself()
    {
        const TimePoint before = bootClock()();
        start(std::chrono::hours(1));
        m_store->reads.take()(RangeResult {7, {}});
        CPPUNIT_ASSERT(m_confirmations.take() >= before);
    }

    // Guards against changes that are applied twice or reverted when a store sends events late or
    // again.
    void changesAreReportedOnce()
    {
        const OpenedWatch watch = openWatch();
        watch.hooks.onChanges(std::vector<WatchEvent> {event("a", 8), event("b", 9)}, 9);
        CPPUNIT_ASSERT_EQUAL(std::string("a@8 b@9 "), m_reports.take());
        watch.hooks.onChanges(std::vector<WatchEvent> {event("b", 9), event("c", 10)}, 10);
        CPPUNIT_ASSERT_EQUAL(std::string("c@10 "), m_reports.take());
    }

    void endedWatchIsReopenedAfterLastChange()
    {
        const OpenedWatch watch = openWatch();
        watch.hooks.onChanges(std::vector<WatchEvent> {event("a", 9)}, 12);
        watch.hooks.onEnded({ErrorCode::Closed, "cut"});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), m_store->watches.take().revision);
    }

    void compactedWatchReadsAllKeysAgain()
    {
        openWatch().hooks.onEnded({ErrorCode::Stale, "history is gone"});
        m_store->reads.take()(RangeResult {20, {}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(21), m_store->watches.take().revision);
    }

    // Guards against skipping what a restored store wrote at revisions that were seen before.
    void restoredStoreIsReadAndWatchedInItsEpoch()
    {
        const OpenedWatch watch = openWatch();
        watch.hooks.onChanges(std::vector<WatchEvent> {event("a", 9)}, 9);
        m_reports.take();
        watch.hooks.onEnded({ErrorCode::Stale, "another epoch"});
        m_store->reads.take()(RangeResult {5, {}, 2});
        const OpenedWatch next = m_store->watches.take();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(6), next.revision);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), next.epoch);
        next.hooks.onChanges(std::vector<WatchEvent> {event("b", 8)}, 8);
        CPPUNIT_ASSERT_EQUAL(std::string("b@8 "), m_reports.take());
    }

    // Guards against a fleet that reads everything at the same moment.
    void lostHistoryIsReportedBeforeTheRead()
    {
        const OpenedWatch watch = openWatch();
        m_rereadDelay = std::chrono::milliseconds(60);
        const TimePoint endedAt = bootClock()();
        watch.hooks.onEnded({ErrorCode::Stale, "history is gone"});
        m_losses.take();
        m_store->reads.take();
        CPPUNIT_ASSERT(bootClock()() - endedAt >= std::chrono::milliseconds(60));
    }

    // Guards against full reads without pause from a store whose epoch alternates.
    void historyThatIsLostAtEachWatchIsReadWithGrowingDelays()
    {
        const TimePoint startedAt = bootClock()();
        openWatch().hooks.onEnded({ErrorCode::Stale, "another epoch"});
        constexpr int reads = 6;
        for (int i = 0; i < reads; ++i) {
            m_store->reads.take()(RangeResult {7, {}, i % 2});
            m_store->watches.take().hooks.onEnded({ErrorCode::Stale, "another epoch"});
        }
        m_store->reads.take();
        // Delays that double from 20 ms, less what the spread may take off.
        CPPUNIT_ASSERT(bootClock()() - startedAt >= std::chrono::milliseconds(600));
    }

    // Guards against a dead connection that goes unnoticed because it reports no error.
    void idleWatchIsReopened()
    {
        start(std::chrono::milliseconds(20));
        m_store->reads.take()(RangeResult {7, {}});
        m_store->watches.take();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), m_store->watches.take().revision);
    }

    void eventsOfClosedWatchAreDropped()
    {
        const OpenedWatch closed = openWatch();
        closed.hooks.onEnded({ErrorCode::Closed, "cut"});
        const OpenedWatch reopened = m_store->watches.take();
        closed.hooks.onChanges(std::vector<WatchEvent> {event("old", 8)}, 8);
        reopened.hooks.onChanges(std::vector<WatchEvent> {event("new", 9)}, 9);
        CPPUNIT_ASSERT_EQUAL(std::string("new@9 "), m_reports.take());
    }

    void outageAndRecoveryAreReportedOnce()
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

    // Guards against a fleet that reads all keys twenty times a second because one value is
    // damaged.
    void unusableSnapshotIsReadAgainWithGrowingDelays()
    {
        m_isSnapshotUsable = false;
        const TimePoint startedAt = bootClock()();
        start(std::chrono::hours(1));
        constexpr int reads = 7;
        for (int i = 0; i < reads; ++i) {
            m_store->reads.take()(RangeResult {7, {{"k", "v", 3}}});
            m_reports.take(); // the snapshot was rejected
        }
        // Delays that double from 20 ms, less what the spread may take off.
        CPPUNIT_ASSERT(bootClock()() - startedAt >= std::chrono::milliseconds(600));
        m_isSnapshotUsable = true;
        m_store->reads.take()(RangeResult {9, {}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), m_store->watches.take().revision);
    }

    // Guards against a reader behind a slow link that gets further behind with each part of the
    // history of a large value.
    void readerThatIsBehindReadsTheState()
    {
        const OpenedWatch watch = openWatch();
        watch.hooks.onChanges(std::vector<WatchEvent> {largeEvent(8)}, 8);
        watch.hooks.onBehind();
        m_losses.take();
        m_store->reads.take()(RangeResult {40, {}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(41), m_store->watches.take().revision);
    }

    // Guards against a reader that is stuck because all keys together are too large.
    void historyIsFollowedIfTheStateCannotBeRead()
    {
        const OpenedWatch watch = openWatch();
        watch.hooks.onChanges(std::vector<WatchEvent> {largeEvent(8)}, 8);
        watch.hooks.onBehind();
        m_store->reads.take()(Error {ErrorCode::Malformed, "too many pages"});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(9), m_store->watches.take().revision);
    }

    void replacedVersionsAreNotFollowed()
    {
        const OpenedWatch watch = openWatch();
        watch.hooks.onChanges(std::vector<WatchEvent> {largeEvent(8), largeEvent(9)}, 9);
        m_store->reads.take()(RangeResult {40, {}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(41), m_store->watches.take().revision);
    }

    void smallAnswersBehindAreFollowed()
    {
        const OpenedWatch watch = openWatch();
        watch.hooks.onChanges(std::vector<WatchEvent> {event("a", 8)}, 8);
        watch.hooks.onBehind();
        watch.hooks.onChanges(std::vector<WatchEvent> {event("a", 9)}, 9);
        CPPUNIT_ASSERT_EQUAL(std::string("a@8 "), m_reports.take());
        CPPUNIT_ASSERT_EQUAL(std::string("a@9 "), m_reports.take());
        CPPUNIT_ASSERT(m_store->reads.isEmpty());
    }

private:
    static WatchEvent largeEvent(std::int64_t revision)
    {
        return {false, {"k", std::string(100'000, 'v'), revision}};
    }

    static WatchEvent event(const std::string &key, std::int64_t revision)
    {
        return {false, {key, "v", revision}};
    }

    void start(std::chrono::milliseconds idleTimeout)
    {
        PrefixWatcher::Settings settings;
        settings.idleTimeout = idleTimeout;
        settings.minBackoff = std::chrono::milliseconds(20);
        settings.maxBackoff = std::chrono::seconds(10);
        settings.stateInterval = std::chrono::milliseconds(20);
        PrefixWatcherHooks hooks;
        hooks.onSnapshot = [this](const RangeResult &snapshot) {
            const bool isUsable = m_isSnapshotUsable;
            for (const KeyValue &pair : snapshot.pairs)
                m_reports.put(pair.key + '=' + pair.value);
            return isUsable;
        };
        hooks.onChanges = [this](std::span<const WatchEvent> events) {
            std::string text;
            for (const WatchEvent &changedEvent : events)
                text += changedEvent.pair.key + '@' + std::to_string(changedEvent.pair.modRevision)
                    + ' ';
            m_reports.put(text);
            return true;
        };
        hooks.onHistoryLost = [this](std::chrono::milliseconds) { m_losses.put(1); };
        hooks.rereadDelay = [this] { return m_rereadDelay.load(); };
        hooks.onConfirmed = [this](TimePoint confirmedAt) { m_confirmations.put(confirmedAt); };
        hooks.onUnavailable = [this](const Error &) { m_states.put("lost"); };
        hooks.onAvailable = [this] { m_states.put("followed"); };
        m_watcher.emplace(*m_pool, *m_store, "", settings, hooks);
        m_watcher->start();
    }

    OpenedWatch openWatch()
    {
        start(std::chrono::hours(1));
        m_store->reads.take()(RangeResult {7, {}});
        return m_store->watches.take();
    }

    std::optional<WorkerPool> m_pool;
    std::optional<ScriptedStore> m_store;
    std::optional<PrefixWatcher> m_watcher;
    std::atomic<bool> m_isSnapshotUsable = true;
    Mailbox<std::string> m_reports;
    Mailbox<std::string> m_states;
    Mailbox<TimePoint> m_confirmations;
    Mailbox<int> m_losses;
    std::atomic<std::chrono::milliseconds> m_rereadDelay = std::chrono::milliseconds(0);
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixWatcherTest);
