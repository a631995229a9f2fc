#include "foxtailring/decisions/admission/MemoryBudget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <vector>

using namespace foxtailring;

class MemoryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(oneLargeAnswerFits);
    CPPUNIT_TEST(endlessAnswersStayWithinTheBudget);
    CPPUNIT_TEST(smallAnswersFitBesideEndlessOnes);
    CPPUNIT_TEST(reservationsAreReleased);
    CPPUNIT_TEST(arrivingRequestsLeaveRoomForAnswers);
    CPPUNIT_TEST(smallRequestsArriveBesideEndlessAnswers);
    CPPUNIT_TEST(arrivedRequestsAreNoLongerCountedAsArriving);
    CPPUNIT_TEST(accountLeavesRoomForOthers);
    CPPUNIT_TEST(accountIsHeldToItsShareFromItsRequestOn);
    CPPUNIT_TEST(accountsAreNotBoundWithoutAShare);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneLargeAnswerFits()
    {
        MemoryBudget::Reservation reservation(m_budget);
        CPPUNIT_ASSERT(reservation.tryResize(16 * mebi));
        CPPUNIT_ASSERT(!reservation.tryResize(40 * mebi));
    }

    // Guards against a process that is killed for its memory: 60 endless answers took 937 MB.
    void endlessAnswersStayWithinTheBudget()
    {
        growToLimit(100);
        CPPUNIT_ASSERT(m_budget.held() < budgetBytes);
    }

    // Guards against failing normal requests because a few servers send endless answers.
    void smallAnswersFitBesideEndlessOnes()
    {
        growToLimit(100);
        MemoryBudget::Reservation small(m_budget);
        CPPUNIT_ASSERT(small.tryResize(100 * 1024));
    }

    void reservationsAreReleased()
    {
        growToLimit(10);
        m_reservations.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget.held());
    }

    // Guards against runs that are ended because many large requests arrive.
    void arrivingRequestsLeaveRoomForAnswers()
    {
        MemoryBudget::Reservation run(m_budget);
        CPPUNIT_ASSERT(run.tryResize(2 * mebi));
        growToLimit(1000, true);
        CPPUNIT_ASSERT(m_budget.held() < budgetBytes * 3 / 4);
        CPPUNIT_ASSERT(run.tryResize(5 * mebi));
    }

    // Guards against refusing all other clients because a few servers send endless answers.
    void smallRequestsArriveBesideEndlessAnswers()
    {
        growToLimit(100);
        MemoryBudget::Reservation small(m_budget, true);
        CPPUNIT_ASSERT(small.tryResize(4 * 1024));
        MemoryBudget::Reservation large(m_budget, true);
        CPPUNIT_ASSERT(!large.tryResize(mebi));
    }

    void arrivedRequestsAreNoLongerCountedAsArriving()
    {
        {
            MemoryBudget::Reservation first(m_budget, true);
            MemoryBudget::Reservation second(m_budget, true);
            CPPUNIT_ASSERT(first.tryResize(3 * mebi) && second.tryResize(mebi));
            CPPUNIT_ASSERT_EQUAL(4 * mebi, m_budget.arriving());
            first.setArrived();
            CPPUNIT_ASSERT_EQUAL(mebi, m_budget.arriving());
            CPPUNIT_ASSERT_EQUAL(4 * mebi, m_budget.held());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget.arriving());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_budget.held());
    }

    // Guards against one account whose callers read slowly, and that takes the memory of all.
    void accountLeavesRoomForOthers()
    {
        MemoryBudget budget(budgetBytes, 0.5);
        std::vector<std::unique_ptr<MemoryBudget::Reservation>> slow;
        for (int i = 0; i < 100; ++i) {
            slow.push_back(std::make_unique<MemoryBudget::Reservation>(budget));
            slow.back()->assignTo("slow");
            slow.back()->tryResize(mebi);
        }
        CPPUNIT_ASSERT_EQUAL(budgetBytes / 2, budget.heldBy("slow"));
        CPPUNIT_ASSERT(slow.back()->tryResize(8 * 1024));
        MemoryBudget::Reservation other(budget);
        CPPUNIT_ASSERT(other.assignTo("other"));
        CPPUNIT_ASSERT(other.tryResize(8 * mebi));
        MemoryBudget::Reservation unassigned(budget);
        CPPUNIT_ASSERT(unassigned.tryResize(mebi));
        slow.clear();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), budget.heldBy("slow"));
    }

    // The account is known only once the request has arrived.
    void accountIsHeldToItsShareFromItsRequestOn()
    {
        MemoryBudget budget(budgetBytes, 0.25);
        MemoryBudget::Reservation first(budget, true);
        MemoryBudget::Reservation second(budget, true);
        CPPUNIT_ASSERT(first.tryResize(budgetBytes / 6));
        CPPUNIT_ASSERT(second.tryResize(budgetBytes / 6));
        CPPUNIT_ASSERT(first.assignTo("a"));
        CPPUNIT_ASSERT(!second.assignTo("a"));
        CPPUNIT_ASSERT(second.tryResize(0));
        CPPUNIT_ASSERT_EQUAL(budgetBytes / 6, budget.heldBy("a"));
        CPPUNIT_ASSERT_EQUAL(budgetBytes / 6, budget.arriving());
    }

    void accountsAreNotBoundWithoutAShare()
    {
        MemoryBudget::Reservation reservation(m_budget);
        CPPUNIT_ASSERT(reservation.assignTo("a"));
        CPPUNIT_ASSERT(reservation.tryResize(budgetBytes / 2));
    }

private:
    static constexpr std::size_t mebi = 1024 * 1024;
    static constexpr std::size_t budgetBytes = 40 * mebi;

    // Grows requests in turn by 8 KiB until none may hold more.
    void growToLimit(int requests, bool areArriving = false)
    {
        std::vector<std::size_t> sizes(static_cast<std::size_t>(requests), 0);
        for (int i = 0; i < requests; ++i)
            m_reservations.push_back(
                std::make_unique<MemoryBudget::Reservation>(m_budget, areArriving));
        bool hasGrown = true;
        while (hasGrown) {
            hasGrown = false;
            for (std::size_t i = 0; i < sizes.size(); ++i) {
                if (!m_reservations[i]->tryResize(sizes[i] + 8192))
                    continue;
                sizes[i] += 8192;
                hasGrown = true;
            }
        }
    }

    MemoryBudget m_budget {budgetBytes};
    std::vector<std::unique_ptr<MemoryBudget::Reservation>> m_reservations;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);
