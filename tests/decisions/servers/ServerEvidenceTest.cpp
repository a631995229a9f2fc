#include "foxtailring/decisions/servers/ServerEvidence.h"

#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include "sessions/ForwardFixture.h"

#include <span>

using namespace foxtailring;

class ServerEvidenceTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(ServerEvidenceTest);
    CPPUNIT_TEST(noticeOfAnotherServerDoesNotCount);
    CPPUNIT_TEST(unsignedSuccessIsNoNotice);
    CPPUNIT_TEST(loadIsTakenOnlyFromReportsThatHaveOne);
    CPPUNIT_TEST(paceIsTakenFromReportsToo);
    CPPUNIT_TEST(rejectionIsNoFailure);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    // Guards against a server that gets no work because another one at its address leaves.
    void noticeOfAnotherServerDoesNotCount()
    {
        BackendAnswer head = leavingAnswer(200);
        head.isOtherServer = true;
        evidence().recordHead(server("a1").info, now, head, now);
        CPPUNIT_ASSERT(!isLeaving("a1"));
    }

    // Guards against a proxy in front of the servers whose answers say that all of them leave.
    void unsignedSuccessIsNoNotice()
    {
        BackendAnswer head = leavingAnswer(200);
        head.isSigned = false;
        evidence().recordHead(server("a1").info, now, head, now);
        CPPUNIT_ASSERT(!isLeaving("a1"));
        head.status = 503;
        evidence().recordHead(server("a1").info, now, head, now);
        CPPUNIT_ASSERT(isLeaving("a1"));
    }

    // Guards against a server that looks idle because it was asked for a prompt, or turned the
    // probe away.
    void loadIsTakenOnlyFromReportsThatHaveOne()
    {
        ServerProbeResult report;
        report.serverId = "a1";
        report.load.waiting = 7;
        const std::span<const ServerProbeResult> reports(&report, 1);
        evidence().recordReports(reports, ServerEvidence::ReportedLoad::None, now);
        CPPUNIT_ASSERT(!server("a1").load);
        report.isTurnedAway = true;
        evidence().recordReports(reports, ServerEvidence::ReportedLoad::Given, now);
        CPPUNIT_ASSERT(!server("a1").load);
        report.isTurnedAway = false;
        evidence().recordReports(reports, ServerEvidence::ReportedLoad::Given, now);
        CPPUNIT_ASSERT_EQUAL(7U, server("a1").load->waiting);
    }

    // Guards against a pace that is known of the servers with answers only, and against that of
    // another start.
    void paceIsTakenFromReportsToo()
    {
        ServerProbeResult report;
        report.serverId = "a1";
        report.startedAtMs = 1;
        report.relativeDuration = 2.5;
        const std::span<const ServerProbeResult> reports(&report, 1);
        evidence().recordReports(reports, ServerEvidence::ReportedLoad::None, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, server("a1").pace.relativeDuration, 0.01);
        report.serverId = "b1";
        report.startedAtMs = 7;
        evidence().recordReports(reports, ServerEvidence::ReportedLoad::None, now);
        CPPUNIT_ASSERT_EQUAL(1.0, server("b1").pace.relativeDuration);
    }

    // Guards against a busy server that is suspected because it takes no more requests.
    void rejectionIsNoFailure()
    {
        evidence().recordEnd("a1", AttemptResult::NotRun, now);
        CPPUNIT_ASSERT(server("a1").health == BackendHealth::Healthy);
        evidence().recordEnd("a1", AttemptResult::Lost, now);
        CPPUNIT_ASSERT(server("a1").health == BackendHealth::Suspected);
    }

private:
    const ServerEvidence &evidence() const { return m_evidence; }
    BackendState server(const std::string &id) const { return *servers.server(id, now); }
    bool isLeaving(const std::string &id) const { return server(id).isLeaving; }

    static BackendAnswer leavingAnswer(int status)
    {
        BackendAnswer head = answer(status);
        head.leaving = LeavingNotice::Leaving;
        return head;
    }

    const ForwardContext m_context = context();
    const ServerEvidence m_evidence {m_context};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerEvidenceTest);
