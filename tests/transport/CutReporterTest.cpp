#include "CutReporter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace foxtailring;

class CutReporterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CutReporterTest);
    CPPUNIT_TEST(connectionWithoutBytesIsNotReported);
    CPPUNIT_TEST(bytesBehindARequestCountForTheNextOne);
    CPPUNIT_TEST(discardedBytesAreReportedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reports of idle connections, which lose nothing.
    void connectionWithoutBytesIsNotReported()
    {
        m_reporter.beginRequest(0);
        m_reporter.report(ConnectionCut::Cause::Stop, ConnectionCut::Phase::Head);
        m_reporter.reportUnread(0);
        m_reporter.reportDiscarded(0);
        CPPUNIT_ASSERT(m_cuts.empty());
    }

    void bytesBehindARequestCountForTheNextOne()
    {
        m_reporter.beginRequest(0);
        m_reporter.addBytes(30);
        m_reporter.beginRequest(10);
        m_reporter.addBytes(5);
        m_reporter.report(ConnectionCut::Cause::Stop, ConnectionCut::Phase::Head);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_cuts.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(15), m_cuts.front().arrivedBytes);
    }

    // Guards against two reports of one request: its first part was reported at the close.
    void discardedBytesAreReportedOnce()
    {
        m_reporter.beginRequest(0);
        m_reporter.reportDiscarded(7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_cuts.size());
        CPPUNIT_ASSERT(m_cuts.front().phase == ConnectionCut::Phase::Discarded);
        m_reporter.addBytes(7);
        m_reporter.reportDiscarded(7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_cuts.size());
    }

private:
    std::vector<ConnectionCut> m_cuts;
    const CutReporter::Hook m_hook = [this](const ConnectionCut &cut) { m_cuts.push_back(cut); };
    CutReporter m_reporter {m_hook};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutReporterTest);
