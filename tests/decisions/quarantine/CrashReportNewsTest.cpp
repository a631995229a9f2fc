#include "foxtailring/decisions/quarantine/RequestQuarantine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

// What a report still tells when it has been told before.
class CrashReportNewsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashReportNewsTest);
    CPPUNIT_TEST(crashIsToldForAWhileOnly);
    CPPUNIT_TEST(crashThatWasNotPublishedIsToldLater);
    CPPUNIT_TEST(crashesThatAQuarantineReliesOnAreToldAgain);
    CPPUNIT_TEST(loneSuspectsWaitWhileOthersDecide);
    CPPUNIT_TEST(startOfAHotPartIsNotToldAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reports that grow with all crashes of the last minute.
    void crashIsToldForAWhileOnly()
    {
        crash("e1", {"a"}, 0ms);
        CPPUNIT_ASSERT_EQUAL(std::string("e1 "), told(0ms));
        crash("e2", {"b"}, 3s);
        CPPUNIT_ASSERT_EQUAL(std::string("e2 e1 "), told(4s));
        crash("e3", {"c"}, 10s);
        CPPUNIT_ASSERT_EQUAL(std::string("e3 "), told(10s));
    }

    // Guards against a crash that nobody learns of since the store was away.
    void crashThatWasNotPublishedIsToldLater()
    {
        crash("e1", {"a"}, 0ms);
        told(0ms);
        m_quarantine.onReportNotPublished();
        CPPUNIT_ASSERT_EQUAL(std::string("e1 "), told(20s));
    }

    // Guards against a process that starts later and admits what the others refuse.
    void crashesThatAQuarantineReliesOnAreToldAgain()
    {
        crash("e1", {"a"}, 0ms);
        crash("e2", {"a"}, 1s);
        told(1s);
        CPPUNIT_ASSERT(m_quarantine.admit(Parts {"a"}, m_now + 2s)
                       == RequestQuarantine::Admission::Rejected);
        crash("e3", {"b"}, 15s);
        CPPUNIT_ASSERT_EQUAL(std::string("e3 e2 e1 "), told(15s));
    }

    // Guards against a report on what decides that is as large as all others.
    void loneSuspectsWaitWhileOthersDecide()
    {
        crash("e1", {"a"}, 0ms);
        crash("e2", {"b"}, 1s);
        CPPUNIT_ASSERT(!m_quarantine.takeDueReport(m_now + 1s, false));
        crash("e3", {"b"}, 2s);
        const auto deciding = m_quarantine.takeDueReport(m_now + 2s, false);
        CPPUNIT_ASSERT_EQUAL(std::string("e3 e2 "), namesOf(deciding.value()));
        CPPUNIT_ASSERT_EQUAL(std::string("e3 e2 e1 "), told(9s));
    }

    // Guards against reports with each part that all requests share.
    void startOfAHotPartIsNotToldAgain()
    {
        crash("e1", {"hot"}, 0ms);
        m_quarantine.recordStart(Parts {"hot"}, m_now + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             m_quarantine.takeDueReport(m_now + 2s).value().starts.size());
        m_quarantine.recordStart(Parts {"hot"}, m_now + 8s);
        crash("e2", {"b"}, 9s);
        CPPUNIT_ASSERT(m_quarantine.takeDueReport(m_now + 9s).value().starts.empty());
    }

private:
    using Parts = std::vector<std::string>;

    void crash(const std::string &server, const Parts &parts, Duration at)
    {
        m_quarantine.recordCrash(server, parts, m_now + at);
    }

    static std::string namesOf(const CrashReport &report)
    {
        std::string names;
        for (const CrashReport::Crash &one : report.crashes)
            names += one.incarnation + ' ';
        return names;
    }

    /// Names the crashes in the report that is due.
    std::string told(Duration at)
    {
        return namesOf(m_quarantine.takeDueReport(m_now + at).value());
    }

    const TimePoint m_now {1h};
    RequestQuarantine m_quarantine;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashReportNewsTest);
