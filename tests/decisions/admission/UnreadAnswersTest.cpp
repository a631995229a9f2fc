#include "foxtailring/decisions/admission/UnreadAnswers.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using std::chrono::seconds;

// Callers that read slowly while requests hold all the memory that they may.
class UnreadAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnreadAnswersTest);
    CPPUNIT_TEST(callerThatReadsNothingForLongestIsTheSlowest);
    CPPUNIT_TEST(ofTwoThatReadNothingTheLargerOneIsChosen);
    CPPUNIT_TEST(smallAnswersAreNotGivenUp);
    CPPUNIT_TEST(waitForTheNextEventIsNotSlow);
    CPPUNIT_TEST(answerThatIsOverIsNotChosen);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against giving up the answer that happens to grow, although its caller reads it.
    void callerThatReadsNothingForLongestIsTheSlowest()
    {
        m_answers.update(1, 0, many, m_now);
        m_answers.update(2, 0, many, m_now);
        m_answers.update(1, 1, 9 * many, m_now + seconds(1));
        m_answers.update(2, 0, many, m_now + seconds(2));
        CPPUNIT_ASSERT_EQUAL(UnreadAnswers::Id(2), m_answers.slowest().value());
    }

    void ofTwoThatReadNothingTheLargerOneIsChosen()
    {
        m_answers.update(1, 0, many, m_now);
        m_answers.update(2, 0, 2 * many, m_now);
        m_answers.update(3, 0, many, m_now);
        CPPUNIT_ASSERT_EQUAL(UnreadAnswers::Id(2), m_answers.slowest().value());
    }

    void smallAnswersAreNotGivenUp()
    {
        m_answers.update(1, 0, many - 1, m_now);
        CPPUNIT_ASSERT(!m_answers.slowest());
    }

    // Guards against giving up the answer of a caller that read all there was, seconds ago.
    void waitForTheNextEventIsNotSlow()
    {
        m_answers.update(1, 5, 0, m_now);
        m_answers.update(2, 0, many, m_now + seconds(5));
        m_answers.update(1, 5, many, m_now + seconds(6));
        CPPUNIT_ASSERT_EQUAL(UnreadAnswers::Id(2), m_answers.slowest().value());
    }

    void answerThatIsOverIsNotChosen()
    {
        m_answers.update(1, 0, many, m_now);
        m_answers.remove(1);
        CPPUNIT_ASSERT(!m_answers.slowest());
    }

private:
    static constexpr std::size_t many = UnreadAnswers::minUnreadBytes;
    const TimePoint m_now {std::chrono::hours(1)};
    UnreadAnswers m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreadAnswersTest);
