#include "foxtailring/decisions/admission/ResumeAdmission.h"

#include "foxtailring/base/RandomSource.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace foxtailring;
using namespace std::chrono_literals;

class ResumeAdmissionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResumeAdmissionTest);
    CPPUNIT_TEST(singleLossIsNotDelayed);
    CPPUNIT_TEST(resumesArePacedAndAllStart);
    CPPUNIT_TEST(entriesShareTheRate);
    CPPUNIT_TEST(entriesResumeWithJitter);
    CPPUNIT_TEST(higherPriorityStartsFirst);
    CPPUNIT_TEST(newWorkYieldsWhileResumesWait);
    CPPUNIT_TEST(cancelledResumeIsRemoved);
    CPPUNIT_TEST_SUITE_END();

    ResumeAdmission m_admission {ResumeAdmission::Settings {100, 0.2, 250ms, 0.25, 2s}};
    RandomSource m_random {11};
    const TimePoint m_now = TimePoint {} + 1h;

    void submit(int count, std::uint32_t priority = 5)
    {
        for (int i = 0; i < count; ++i)
            m_admission.submit("s", std::to_string(priority) + "-" + std::to_string(i), priority,
                               m_now, m_random);
    }

public:
    // Guards against delaying a resume when only one engine has failed.
    void singleLossIsNotDelayed()
    {
        submit(1);
        CPPUNIT_ASSERT(m_admission.nextReadyAt(m_now) == m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_admission.takeReady(m_now).size());
        CPPUNIT_ASSERT(!m_admission.nextReadyAt(m_now));
    }

    // Guards against entries that each use the full rate.
    void entriesShareTheRate()
    {
        m_admission.setLiveEntries(10);
        m_admission.setRate("s", 200);
        submit(100);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_admission.takeReady(m_now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_admission.takeReady(m_now + 250ms).size());
    }

    // Guards against overload of the remaining zones by the resumes of a lost zone, and against a
    // resume that never starts.
    void resumesArePacedAndAllStart()
    {
        submit(200);
        std::size_t inFirstSecond = 0;
        std::set<std::string> seen;
        TimePoint at = m_now;
        while (const auto next = m_admission.nextReadyAt(at)) {
            at = *next;
            for (std::string &id : m_admission.takeReady(at)) {
                inFirstSecond += at < m_now + 1s ? 1 : 0;
                CPPUNIT_ASSERT(seen.insert(std::move(id)).second);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(200), seen.size());
        CPPUNIT_ASSERT(inFirstSecond <= 120); // burst of 20 and 100/s
        CPPUNIT_ASSERT(at < m_now + 2s + 250ms);
    }

    // Guards against all entries resuming at the same moment after a loss that all of them saw.
    void entriesResumeWithJitter()
    {
        submit(21);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), m_admission.takeReady(m_now).size());
        const auto next = m_admission.nextReadyAt(m_now);
        CPPUNIT_ASSERT(*next > m_now && *next <= m_now + 250ms);
    }

    // Guards against resumes of high priority that wait behind the others.
    void higherPriorityStartsFirst()
    {
        submit(10, 9);
        submit(1, 0);
        CPPUNIT_ASSERT(*m_admission.nextReadyAt(m_now + 250ms) == m_now + 250ms);
        CPPUNIT_ASSERT_EQUAL(std::string("0-0"), m_admission.takeReady(m_now + 250ms).front());
    }

    // Guards against new work that takes the capacity needed by resumes, and against a limit that
    // stays reduced after the last resume.
    void newWorkYieldsWhileResumesWait()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, m_admission.newWorkShare("s", m_now));
        submit(30);
        CPPUNIT_ASSERT_EQUAL(0.25, m_admission.newWorkShare("s", m_now));
        CPPUNIT_ASSERT_EQUAL(1.0, m_admission.newWorkShare("other", m_now));
        TimePoint at = m_now;
        while (const auto next = m_admission.nextReadyAt(at))
            m_admission.takeReady(at = *next);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, m_admission.newWorkShare("s", at), 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.625, m_admission.newWorkShare("s", at + 1s), 1e-6);
        CPPUNIT_ASSERT_EQUAL(1.0, m_admission.newWorkShare("s", at + 3s));
    }

    // Guards against holding back new work for a resume whose caller has disconnected.
    void cancelledResumeIsRemoved()
    {
        submit(1);
        m_admission.cancel("5-0", m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_admission.waiting("s"));
        CPPUNIT_ASSERT(m_admission.takeReady(m_now + 1s).empty());
        CPPUNIT_ASSERT_EQUAL(1.0, m_admission.newWorkShare("s", m_now + 2s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResumeAdmissionTest);
