#include "foxtailring/decisions/sessions/EngineLatencyEstimator.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <string>

using namespace foxtailring;
using std::chrono::milliseconds;

class EngineLatencyEstimatorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EngineLatencyEstimatorTest);
    CPPUNIT_TEST(promptOfAnySizeHasATimeWithinADay);
    CPPUNIT_TEST(runOfAnyLengthHasATimeWithinADay);
    CPPUNIT_TEST(promptWithoutTokensDoesNotWrapTheTimesOfOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a run that counts as stuck at once: the size of a prompt is what its caller
    // says, and its time overflowed 64 bits in nanoseconds.
    void promptOfAnySizeHasATimeWithinADay()
    {
        learn(1000);
        for (const char *service : {"engine", "unknown"}) {
            Duration shorter {0};
            for (const std::uint64_t tokens : sizes) {
                const Duration delay = m_latency.maxFirstEventDelay(service, tokens);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(tokens), delay >= shorter);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(tokens), delay <= longest);
                shorter = delay;
            }
        }
    }

    // Guards against a run that is expected to end before it began, so that it is taken although it
    // cannot end in time.
    void runOfAnyLengthHasATimeWithinADay()
    {
        learn(1000);
        Duration shorter {0};
        for (const std::uint64_t size : sizes) {
            const auto events = static_cast<std::int64_t>(size / 2);
            const Duration least = m_latency.minRunDuration("engine", size, events);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(size), least >= shorter);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(size), least <= longest);
            const Duration usual = *m_latency.usualRunDuration("engine", 1, events);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(size), usual >= Duration {0});
            CPPUNIT_ASSERT_MESSAGE(std::to_string(size), usual <= longest);
            shorter = least;
        }
        const Duration none = m_latency.minRunDuration("engine", 0, -5);
        CPPUNIT_ASSERT(none == Duration {0});
    }

    // A caller that names no size makes each token seem to take as long as a whole prompt.
    void promptWithoutTokensDoesNotWrapTheTimesOfOthers()
    {
        learn(0);
        const Duration delay = m_latency.maxFirstEventDelay("engine", 1'000'000'000'000);
        CPPUNIT_ASSERT(delay > Duration {0});
        CPPUNIT_ASSERT(delay <= longest);
    }

private:
    static constexpr Duration longest = std::chrono::hours(24);
    static constexpr std::uint64_t sizes[] = {1, 1000, 1'000'000'000, 1'000'000'000'000'000,
                                              std::numeric_limits<std::uint64_t>::max()};

    void learn(std::uint64_t promptTokens)
    {
        m_latency.recordFirstEvent("engine", promptTokens, milliseconds(2000));
        m_latency.recordEventInterval("engine", milliseconds(30));
    }

    EngineLatencyEstimator m_latency;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineLatencyEstimatorTest);
