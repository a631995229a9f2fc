#include "BatchQueue.h"
#include "EventFeed.h"
#include "Lagged.h"
#include "PrefixCache.h"
#include "TokenSource.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::fakes;
using std::chrono::milliseconds;

class EngineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineTest);
    CPPUNIT_TEST(queueAdmitsByPriorityThenArrival);
    CPPUNIT_TEST(leavingTheQueueFreesNoSlot);
    CPPUNIT_TEST(cacheHitsWholeBlocksOfTheSamePrefix);
    CPPUNIT_TEST(cacheEvictsLeastRecentlyUsed);
    CPPUNIT_TEST(longPromptKeepsItsFirstBlocks);
    CPPUNIT_TEST(cacheEventsAreLateAndHaveGaps);
    CPPUNIT_TEST(loadIsReportedLate);
    CPPUNIT_TEST(varyingGenerationsDiffer);
    CPPUNIT_TEST(resumeContinuesTheTagOfItsPrefix);
    CPPUNIT_TEST_SUITE_END();

public:
    void queueAdmitsByPriorityThenArrival()
    {
        BatchQueue queue(1);
        const auto running = queue.enter(9);
        const auto low = queue.enter(5);
        const auto highFirst = queue.enter(0);
        const auto highSecond = queue.enter(0);
        CPPUNIT_ASSERT(queue.isRunning(running));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), queue.waiting());
        queue.leave(running);
        CPPUNIT_ASSERT(queue.isRunning(highFirst));
        queue.leave(highFirst);
        CPPUNIT_ASSERT(queue.isRunning(highSecond));
        queue.leave(highSecond);
        CPPUNIT_ASSERT(queue.isRunning(low));
    }

    // Guards against a cancelled request in the queue that lets too many run.
    void leavingTheQueueFreesNoSlot()
    {
        BatchQueue queue(1);
        queue.enter(0);
        const auto cancelled = queue.enter(0);
        const auto waiting = queue.enter(0);
        queue.leave(cancelled);
        CPPUNIT_ASSERT(!queue.isRunning(waiting));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.running());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), queue.waiting());
    }

    void cacheHitsWholeBlocksOfTheSamePrefix()
    {
        PrefixCache cache(8, [](const auto &) {});
        const std::string prompt = std::string(64, 'a') + std::string(64, 'b') + "tail";
        cache.store(prompt);
        CPPUNIT_ASSERT_EQUAL(std::size_t(128), cache.cachedChars(prompt));
        CPPUNIT_ASSERT_EQUAL(std::size_t(64), cache.cachedChars(std::string(200, 'a')));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), cache.cachedChars(std::string(64, 'b')));
    }

    void cacheEvictsLeastRecentlyUsed()
    {
        std::vector<PrefixCache::Change> changes;
        PrefixCache cache(2, [&](const auto &change) { changes.push_back(change); });
        cache.store(std::string(64, 'a'));
        cache.store(std::string(64, 'b'));
        cache.cachedChars(std::string(64, 'a'));
        cache.store(std::string(64, 'c'));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cache.blocks());
        CPPUNIT_ASSERT_EQUAL(std::size_t(64), cache.cachedChars(std::string(64, 'a')));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), cache.cachedChars(std::string(64, 'b')));
        CPPUNIT_ASSERT(!changes[2].stored);
        CPPUNIT_ASSERT_EQUAL(changes[1].prefixHash, changes[2].prefixHash);
    }

    void longPromptKeepsItsFirstBlocks()
    {
        PrefixCache cache(2, [](const auto &) {});
        cache.store(std::string(640, 'a'));
        CPPUNIT_ASSERT_EQUAL(std::size_t(128), cache.cachedChars(std::string(640, 'a')));
    }

    void cacheEventsAreLateAndHaveGaps()
    {
        EventFeed feed(milliseconds(100), 0.5, 7);
        const TimePoint start;
        for (int count = 0; count < 100; ++count)
            feed.add(start, {{"type", "stored"}});
        CPPUNIT_ASSERT(feed.after(start + milliseconds(99), 0)["events"].empty());
        const auto visible = feed.after(start + milliseconds(100), 0);
        const std::size_t kept = visible["events"].size();
        CPPUNIT_ASSERT(kept > 20 && kept < 80);
        const auto last = visible["last"].get<std::uint64_t>();
        CPPUNIT_ASSERT(last > kept);
        CPPUNIT_ASSERT(feed.after(start + milliseconds(100), last)["events"].empty());
    }

    void loadIsReportedLate()
    {
        Lagged<int> load(0, milliseconds(50));
        const TimePoint start;
        load.set(start, 1);
        load.set(start + milliseconds(10), 2);
        CPPUNIT_ASSERT_EQUAL(0, load.at(start + milliseconds(49)));
        CPPUNIT_ASSERT_EQUAL(1, load.at(start + milliseconds(50)));
        CPPUNIT_ASSERT_EQUAL(2, load.at(start + milliseconds(60)));
    }

    // Guards against mixed answers that tests cannot detect because all generations are alike.
    void varyingGenerationsDiffer()
    {
        CompletionRequest request;
        request.prompt = "p";
        TokenSource varying(1, true);
        CPPUNIT_ASSERT(varying.tagFor(request) != varying.tagFor(request));
        TokenSource fixed(1, false);
        CPPUNIT_ASSERT_EQUAL(fixed.tagFor(request), TokenSource(1, false).tagFor(request));
        CPPUNIT_ASSERT(fixed.tagFor(request) != TokenSource(2, false).tagFor(request));
    }

    void resumeContinuesTheTagOfItsPrefix()
    {
        CompletionRequest request;
        request.resumeIds = {TokenSource::tokenId(42, 0), TokenSource::tokenId(42, 1)};
        TokenSource tokens(1, true);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(42), tokens.tagFor(request));
        CPPUNIT_ASSERT(TokenSource::isOnePrefix(request.resumeIds));
        CPPUNIT_ASSERT(!TokenSource::isOnePrefix({TokenSource::tokenId(42, 1)}));
        CPPUNIT_ASSERT(
            !TokenSource::isOnePrefix({TokenSource::tokenId(42, 0), TokenSource::tokenId(43, 1)}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineTest);
