#include "foxtailring/decisions/sessions/EngineQueuePlace.h"

#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

// Several prompts at one engine, which are processed one after the other.
class EngineQueuePlaceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineQueuePlaceTest);
    CPPUNIT_TEST(runAdvancesFromTheQueueToProcessing);
    CPPUNIT_TEST(oldUnknownRunWaits);
    CPPUNIT_TEST(longQueueIsMostlyBeforeTheRun);
    CPPUNIT_TEST(runIsUnknownWithoutTheSizeOfTheFirstPrompt);
    CPPUNIT_TEST(standstillEndsWhenTheQueueAdvances);
    CPPUNIT_TEST_SUITE_END();

    using State = EngineQueuePlace::State;

public:
    void setUp() override { m_place.start(m_now); }

    void runAdvancesFromTheQueueToProcessing()
    {
        CPPUNIT_ASSERT(report(2, own) == State::Waiting);
        CPPUNIT_ASSERT_EQUAL(0.5, m_place.promptsAhead());
        CPPUNIT_ASSERT_MESSAGE("others wait behind it", report(2, 5000) == State::Processed);
        CPPUNIT_ASSERT(report(0, 0) == State::Processed);
    }

    // A prompt that was processed from the start would be done.
    void oldUnknownRunWaits()
    {
        CPPUNIT_ASSERT(report(2, 5000) == State::Unknown);
        m_now += 1500ms;
        CPPUNIT_ASSERT(report(2, 5000) == State::Waiting);
        CPPUNIT_ASSERT_EQUAL(1.5, m_place.promptsAhead());
    }

    void longQueueIsMostlyBeforeTheRun() { CPPUNIT_ASSERT(report(9, 5000) == State::Waiting); }

    // Guards against moves of runs in processing where engines tell less.
    void runIsUnknownWithoutTheSizeOfTheFirstPrompt()
    {
        m_now += 5s;
        CPPUNIT_ASSERT(report(3, 0) == State::Unknown);
    }

    void standstillEndsWhenTheQueueAdvances()
    {
        report(3, 5000);
        report(3, 5000);
        CPPUNIT_ASSERT(m_place.standstill(m_now) == 800ms);
        report(2, own);
        CPPUNIT_ASSERT(m_place.standstill(m_now) == 0ms);
        CPPUNIT_ASSERT(m_place.waited() == 1200ms);
    }

private:
    static constexpr std::uint64_t own = 8000;

    State report(std::uint32_t waiting, std::uint64_t firstTokens)
    {
        ServerProbeResult result {"e", {3, waiting, 12, 1, 30'000, 88'000}};
        if (firstTokens > 0)
            result.firstWaitingTokens = firstTokens;
        m_place.record(result, own, 1s, m_now += 400ms);
        return m_place.state();
    }

    EngineQueuePlace m_place;
    TimePoint m_now {1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineQueuePlaceTest);
