#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/protocol/RequestDigest.h"

#include <cppunit/extensions/HelperMacros.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

// Requests that share a first part, one of which, or the part, crashes servers.
class GuiltOfCrashesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GuiltOfCrashesTest);
    CPPUNIT_TEST(requestStaysRefusedWhenItsPartIsCleared);
    CPPUNIT_TEST(answeredRequestInheritsNothing);
    CPPUNIT_TEST(otherProcessesLeaveTheQuarantineToTheRequest);
    CPPUNIT_TEST(nextCrashWithThePartAccusesIt);
    CPPUNIT_TEST(readerKnowsWhichRequestHasThePart);
    CPPUNIT_TEST(requestThatWasMostlyBesideADeadlyOneIsAdmitted);
    CPPUNIT_TEST(twoDeadlyRequestsAreBothRefused);
    CPPUNIT_TEST(hostileIndexesOfAReportAreIgnored);
    CPPUNIT_TEST_SUITE_END();

    using Parts = std::vector<std::string>;

public:
    // Guards against a deadly request that is sent again because a sound one with its first part
    // was answered, when two of six servers have crashed.
    void requestStaysRefusedWhenItsPartIsCleared()
    {
        crashTwice(m_deadly);
        m_own.recordStart(m_sound, m_now + 2s);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_sound, 3s));
        CPPUNIT_ASSERT(!isAdmitted(m_own, m_deadly, 3s));
        m_own.expire(m_now + 37s);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_deadly, 37s));
    }

    // Guards against a quarantine of a request that was lost twice and then answered.
    void answeredRequestInheritsNothing()
    {
        crashTwice(m_deadly);
        m_own.recordStart(m_deadly, m_now + 2s);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_deadly, 3s));
    }

    void otherProcessesLeaveTheQuarantineToTheRequest()
    {
        crashTwice(m_deadly);
        m_other.applyReport(m_own.takeDueReport(m_now + 1s).value(), m_now + 1s);
        CPPUNIT_ASSERT(isAdmitted(m_other, m_sound, 2s));
        m_own.recordStart(m_sound, m_now + 5s);
        m_other.applyReport(m_own.takeDueReport(m_now + 5s).value(), m_now + 6s);
        CPPUNIT_ASSERT(isAdmitted(m_other, m_sound, 7s));
        CPPUNIT_ASSERT(!isAdmitted(m_other, m_deadly, 7s));
    }

    // Guards against a deadly part that costs more than one server because one request with it was
    // lost twice.
    void nextCrashWithThePartAccusesIt()
    {
        crashTwice(m_deadly);
        m_own.recordCrash("e3", m_sound, m_now + 2s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"shared", wholeRequest("third")}, 2s));
    }

    // Guards against a part that is excused by a request without it, which was lost at the same
    // servers at another process.
    void readerKnowsWhichRequestHasThePart()
    {
        for (int i = 0; i < 3; ++i) {
            const std::string server = "e" + std::to_string(i);
            const std::string deadly = wholeRequest(server);
            m_own.recordCrash(server, Parts {"deadly", deadly}, m_now + i * 1s);
            m_own.recordCrash(server, Parts {wholeRequest("beside")}, m_now + i * 1s);
        }
        m_other.applyReport(m_own.takeDueReport(m_now + 3s).value(), m_now + 3s);
        CPPUNIT_ASSERT(!isAdmitted(m_other, {"deadly", wholeRequest("next")}, 4s));
    }

    // Guards against refusing a call of many callers that was lost beside a deadly one, while one
    // of the reports on the deadly one is missing.
    void requestThatWasMostlyBesideADeadlyOneIsAdmitted()
    {
        const Parts hot = {wholeRequest("hot")};
        const Parts deadly = {wholeRequest("deadly")};
        for (int i = 0; i < 4; ++i) {
            const std::string server = "e" + std::to_string(i);
            if (i != 2)
                m_own.recordCrash(server, deadly, m_now + i * 1s);
            if (i != 3)
                m_own.recordCrash(server, hot, m_now + i * 1s);
        }
        CPPUNIT_ASSERT(isAdmitted(m_own, hot, 4s));
        m_own.recordCrash("e5", deadly, m_now + 4s);
        CPPUNIT_ASSERT(isAdmitted(m_own, hot, 5s));
        CPPUNIT_ASSERT(!isAdmitted(m_own, deadly, 5s));
    }

    // Guards against a second deadly request that the first one excuses.
    void twoDeadlyRequestsAreBothRefused()
    {
        const Parts one = {wholeRequest("one")};
        const Parts two = {wholeRequest("two")};
        for (int i = 0; i < 4; ++i)
            m_own.recordCrash("one" + std::to_string(i), one, m_now + i * 1s);
        m_own.recordCrash("one0", two, m_now);
        for (int i = 0; i < 3; ++i)
            m_own.recordCrash("two" + std::to_string(i), two, m_now + 6s + i * 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, one, 9s));
        CPPUNIT_ASSERT(!isAdmitted(m_own, two, 9s));
    }

    void hostileIndexesOfAReportAreIgnored()
    {
        crashTwice(m_deadly);
        CrashReport report = m_own.takeDueReport(m_now + 1s).value();
        for (auto &crash : report.crashes) {
            crash.requests = {{7, 9}, {}};
            crash.oneLossSuspects = {63};
        }
        m_other.applyReport(report, m_now + 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_other, m_deadly, 2s));
    }

private:
    void crashTwice(const Parts &suspects)
    {
        m_own.recordCrash("e1", suspects, m_now);
        m_own.recordCrash("e2", suspects, m_now + 1s);
    }

    bool isAdmitted(RequestQuarantine &quarantine, const Parts &suspects, Duration after) const
    {
        return quarantine.admit(suspects, m_now + after) == RequestQuarantine::Admission::Admitted;
    }

    static std::string wholeRequest(std::string_view content)
    {
        return RequestDigest::of(std::span(&content, 1));
    }

    const TimePoint m_now {1h};
    const Parts m_deadly = {"shared", wholeRequest("deadly")};
    const Parts m_sound = {"shared", wholeRequest("sound")};
    RequestQuarantine m_own;
    RequestQuarantine m_other;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuiltOfCrashesTest);
