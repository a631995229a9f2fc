#include "foxtailring/decisions/limits/ServerPauses.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/servers/BackendAnswer.h"
#include "foxtailring/decisions/servers/BackendTable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

using namespace foxtailring;

class ServerPausesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerPausesTest);
    CPPUNIT_TEST(pauseEndsWithItsTime);
    CPPUNIT_TEST(otherServersAreNotPaused);
    CPPUNIT_TEST(laterEndOfOverlappingPausesCounts);
    CPPUNIT_TEST(restartAtTheSameAddressEndsThePause);
    CPPUNIT_TEST(lateAnswerOfTheEarlierStartIsNotThePauseOfTheNext);
    CPPUNIT_TEST(lateAnswerOfTheEarlierStartKeepsThePauseOfTheNext);
    CPPUNIT_TEST(otherIdAtTheAddressIsNotPaused);
    CPPUNIT_TEST(serverThatIsListedAgainIsStillPaused);
    CPPUNIT_TEST(processesReturnAtDifferentTimes);
    CPPUNIT_TEST(eachPauseIsReportedAndItsEndOnce);
    CPPUNIT_TEST(unreadablePauseIsReportedOncePerServer);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_servers.put(info("a", 1), m_now);
        m_servers.put(info("b", 1), m_now);
        ServerPauses::Hooks hooks;
        hooks.onPaused = [this](std::string_view id, Duration) { m_begun += id; };
        hooks.onEnded = [this](std::string_view id) { m_ended += id; };
        hooks.onUnreadable = [this](std::string_view id) { m_unreadable += id; };
        m_pauses.setHooks(hooks);
    }

    void pauseEndsWithItsTime()
    {
        pause("a", Ms(2000));
        CPPUNIT_ASSERT(m_pauses.pausedUntil("a", m_now) == m_now + Ms(2000));
        CPPUNIT_ASSERT(m_pauses.pausedUntil("a", m_now + Ms(1999)));
        CPPUNIT_ASSERT(!m_pauses.pausedUntil("a", m_now + Ms(2000)));
    }

    void otherServersAreNotPaused()
    {
        pause("a", Ms(2000));
        CPPUNIT_ASSERT(!m_pauses.pausedUntil("b", m_now));
        CPPUNIT_ASSERT(m_pauses.pausedIds(m_now) == std::vector<std::string> {"a"});
    }

    // Guards against a short pause that cuts an earlier, longer one.
    void laterEndOfOverlappingPausesCounts()
    {
        const TimePoint end = m_now + Ms(5000);
        pause("a", Ms(5000));
        m_now += Ms(1000);
        pause("a", Ms(1000));
        CPPUNIT_ASSERT(m_pauses.pausedUntil("a", m_now) == end);
        m_now += Ms(3000);
        pause("a", Ms(2000));
        CPPUNIT_ASSERT(m_pauses.pausedUntil("a", m_now) == end + Ms(1000));
    }

    // Guards against a new process that gets no request because its predecessor wanted none.
    void restartAtTheSameAddressEndsThePause()
    {
        pause("a", Ms(5000));
        m_servers.put(info("a", 2), m_now);
        CPPUNIT_ASSERT(!m_pauses.pausedUntil("a", m_now));
        CPPUNIT_ASSERT(m_pauses.pausedIds(m_now).empty());
        m_pauses.expire(m_now);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_ended);
        // The new process may ask for one itself.
        pause("a", Ms(1000));
        CPPUNIT_ASSERT(m_pauses.pausedUntil("a", m_now) == m_now + Ms(1000));
    }

    void lateAnswerOfTheEarlierStartIsNotThePauseOfTheNext()
    {
        const BackendInfo before = info("a", 1);
        m_servers.put(info("a", 2), m_now);
        m_pauses.recordAnswer(before, answer(Ms(5000)), m_now);
        CPPUNIT_ASSERT(!m_pauses.pausedUntil("a", m_now));
    }

    // Guards against the end of a pause by an answer to a request from before the restart.
    void lateAnswerOfTheEarlierStartKeepsThePauseOfTheNext()
    {
        const BackendInfo before = info("a", 1);
        m_servers.put(info("a", 2), m_now);
        m_pauses.recordAnswer(info("a", 2), answer(Ms(5000)), m_now);
        const TimePoint end = m_now + Ms(5000);
        m_pauses.recordAnswer(before, answer(Ms(2000)), m_now + Ms(100));
        CPPUNIT_ASSERT(m_pauses.pausedUntil("a", m_now + Ms(200)) == end);
    }

    void otherIdAtTheAddressIsNotPaused()
    {
        pause("a", Ms(5000));
        BackendInfo successor = info("a2", 2);
        successor.address = info("a", 1).address;
        m_servers.put(successor, m_now);
        CPPUNIT_ASSERT(!m_pauses.pausedUntil("a2", m_now));
    }

    // Guards against an entry that is missing for a moment and ends the pause.
    void serverThatIsListedAgainIsStillPaused()
    {
        pause("a", Ms(5000));
        m_servers.remove("a", m_now);
        m_pauses.expire(m_now);
        m_servers.put(info("a", 1), m_now);
        CPPUNIT_ASSERT(m_pauses.pausedUntil("a", m_now));
    }

    // Guards against processes that all send their requests to a server in the moment in which its
    // pause ends.
    void processesReturnAtDifferentTimes()
    {
        pause("a", Ms(2000));
        CPPUNIT_ASSERT(m_pauses.returningIds(m_now + Ms(1999)).empty());
        constexpr int processCount = 350;
        int early = 0;
        for (int seed = 0; seed < processCount; ++seed) {
            RandomSource random(seed);
            ServerPauses pauses(m_servers, random);
            pauses.recordAnswer(info("a", 1), answer(Ms(2000)), m_now);
            early += pauses.returningIds(m_now + Ms(2100)).empty() ? 1 : 0;
            CPPUNIT_ASSERT(pauses.returningIds(m_now + Ms(2500)).empty());
        }
        // A fifth of the 0.5 s has passed.
        CPPUNIT_ASSERT(early > processCount / 10 && early < processCount * 3 / 10);
    }

    void eachPauseIsReportedAndItsEndOnce()
    {
        pause("a", Ms(2000));
        m_now += Ms(100);
        pause("a", Ms(1000));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_begun);
        pause("a", Ms(3000));
        CPPUNIT_ASSERT_EQUAL(std::string("aa"), m_begun);
        m_pauses.expire(m_now + Ms(2999));
        CPPUNIT_ASSERT_EQUAL(std::string(), m_ended);
        for (int i = 0; i < 20; ++i)
            m_pauses.expire(m_now + Ms(3000 + 100 * i));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), m_ended);
    }

    // Guards against a log that fills with the garbled header of one server.
    void unreadablePauseIsReportedOncePerServer()
    {
        BackendAnswer garbled = answer(Ms(0));
        garbled.pause.reset();
        for (int i = 0; i < 3; ++i) {
            m_pauses.recordAnswer(info("a", 1), garbled, m_now);
            m_pauses.recordAnswer(info("b", 1), garbled, m_now);
            m_pauses.expire(m_now);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), m_unreadable);
        CPPUNIT_ASSERT(!m_pauses.pausedUntil("a", m_now));
    }

private:
    using Ms = std::chrono::milliseconds;

    static BackendInfo info(const std::string &id, std::int64_t startedAtMs)
    {
        BackendInfo one;
        one.id = id;
        one.service = "s";
        one.address = "10.0.0.1:80" + id;
        one.startedAtMs = startedAtMs;
        return one;
    }

    static BackendAnswer answer(Ms pause)
    {
        BackendAnswer one;
        one.status = 503;
        one.isNotRun = true;
        one.namesPause = true;
        one.pause = pause;
        return one;
    }

    void pause(const std::string &id, Ms length)
    {
        m_pauses.recordAnswer(m_servers.server(id, m_now)->info, answer(length), m_now);
    }

    TimePoint m_now {std::chrono::hours(1)};
    BackendTable m_servers;
    RandomSource m_random {7};
    ServerPauses m_pauses {m_servers, m_random};
    std::string m_begun;      ///< ids of the servers
    std::string m_ended;      ///< ids of the servers
    std::string m_unreadable; ///< ids of the servers
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerPausesTest);
