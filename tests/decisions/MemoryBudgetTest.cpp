#include "foxtailring/decisions/MemoryBudget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <vector>

using namespace foxtailring;

class MemoryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(oneLargeAnswerIsHeld);
    CPPUNIT_TEST(endlessAnswersStayWithinTheBudget);
    CPPUNIT_TEST(smallAnswersAreHeldBesideEndlessOnes);
    CPPUNIT_TEST(sharesAreGivenBack);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneLargeAnswerIsHeld()
    {
        MemoryBudget::Reservation share(m_budget);
        CPPUNIT_ASSERT(share.tryResize(16 * mebi));
        CPPUNIT_ASSERT(!share.tryResize(40 * mebi));
    }

    // Guards against a process that is killed for its memory (60 reads of servers that never end:
    // 937 MB).
    void endlessAnswersStayWithinTheBudget()
    {
        pour(100);
        CPPUNIT_ASSERT(m_budget.held() < budgetBytes);
    }

    // Guards against sound requests that fail because a few servers are in trouble.
    void smallAnswersAreHeldBesideEndlessOnes()
    {
        pour(100);
        MemoryBudget::Reservation small(m_budget);
        CPPUNIT_ASSERT(small.tryResize(100 * 1024));
    }

    void sharesAreGivenBack()
    {
        pour(10);
        m_shares.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget.held());
    }

private:
    static constexpr std::size_t mebi = 1024 * 1024;
    static constexpr std::size_t budgetBytes = 40 * mebi;

    // Requests that take 8 KiB in turn until none may hold more.
    void pour(int requests)
    {
        std::vector<std::size_t> sizes(static_cast<std::size_t>(requests), 0);
        for (int i = 0; i < requests; ++i)
            m_shares.push_back(std::make_unique<MemoryBudget::Reservation>(m_budget));
        bool hasGrown = true;
        while (hasGrown) {
            hasGrown = false;
            for (std::size_t i = 0; i < sizes.size(); ++i) {
                if (!m_shares[i]->tryResize(sizes[i] + 8192))
                    continue;
                sizes[i] += 8192;
                hasGrown = true;
            }
        }
    }

    MemoryBudget m_budget {budgetBytes};
    std::vector<std::unique_ptr<MemoryBudget::Reservation>> m_shares;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);
