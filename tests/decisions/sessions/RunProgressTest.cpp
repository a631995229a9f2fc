#include "foxtailring/decisions/sessions/RunProgress.h"

#include "foxtailring/decisions/configuration/HttpRoute.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <string>

using namespace foxtailring;

class RunProgressTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RunProgressTest);
    CPPUNIT_TEST(eachPromptAheadAllowsMoreTime);
    CPPUNIT_TEST(promptsThatNoServerCanHaveDoNotWrapTheTime);
    CPPUNIT_TEST(promptsAheadAllowADayAtMost);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachPromptAheadAllowsMoreTime()
    {
        CPPUNIT_ASSERT(stuckWith(1) == m_now + delay);
        CPPUNIT_ASSERT(stuckWith(2) == m_now + delay + delay / 2);
        CPPUNIT_ASSERT(stuckWith(5) == m_now + 3 * delay);
    }

    // Guards against a run that is abandoned at once because its server reports two thousand
    // million prompts: their time overflowed 64 bits in nanoseconds.
    void promptsThatNoServerCanHaveDoNotWrapTheTime()
    {
        TimePoint earlier = stuckWith(1000);
        for (const std::uint32_t prompts : manyPrompts) {
            const TimePoint stuckAt = stuckWith(prompts);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(prompts), stuckAt >= earlier);
            earlier = stuckAt;
        }
    }

    // The result is added to other times.
    void promptsAheadAllowADayAtMost()
    {
        for (const std::uint32_t prompts : manyPrompts)
            CPPUNIT_ASSERT_MESSAGE(std::to_string(prompts),
                                   stuckWith(prompts) <= m_now + delay + std::chrono::hours(24));
    }

private:
    static constexpr Duration delay = std::chrono::seconds(7);

    static constexpr std::uint32_t manyPrompts[] = {2'000'000, 2'000'000'000, 4'000'000'000,
                                                    std::numeric_limits<std::uint32_t>::max()};

    TimePoint stuckWith(std::uint32_t prompts) const
    {
        RunProgress progress(m_route);
        progress.start(false, m_now);
        progress.recordPrompts(prompts);
        return progress.stuckAt(m_now, delay);
    }

    const TimePoint m_now {std::chrono::hours(24 * 365)};
    const HttpRoute m_route {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunProgressTest);
