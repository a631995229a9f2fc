#include "foxtailring/decisions/servers/ReportPacing.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class ReportPacingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReportPacingTest);
    CPPUNIT_TEST(smallFleetsReportOften);
    CPPUNIT_TEST(largeFleetsStayInTheBudget);
    CPPUNIT_TEST_SUITE_END();

public:
    void smallFleetsReportOften()
    {
        CPPUNIT_ASSERT(reportInterval(0, 500ms) == 500ms);
        CPPUNIT_ASSERT(reportInterval(10, 500ms) == 500ms);
    }

    // Guards against load reports that exceed an entry's control traffic budget of 8 KB/s.
    void largeFleetsStayInTheBudget()
    {
        constexpr double reportBytes = 260;
        constexpr double budgetBytesPerSecond = 8000;
        for (const std::size_t servers : {50U, 312U, 1000U}) {
            const std::chrono::duration<double> interval = reportInterval(servers, 500ms);
            const double bytes = static_cast<double>(servers) * reportBytes / interval.count();
            CPPUNIT_ASSERT(bytes <= budgetBytesPerSecond);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReportPacingTest);
