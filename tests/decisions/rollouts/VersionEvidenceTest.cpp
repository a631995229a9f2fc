#include "foxtailring/decisions/rollouts/VersionEvidence.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

/// Verdicts on a version that few servers in two zones serve.
class VersionEvidenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionEvidenceTest);
    CPPUNIT_TEST(badAnswersOfOneZoneHoldTheMoveUp);
    CPPUNIT_TEST(fewBadAnswersAreGood);
    CPPUNIT_TEST(badAnswersOfBothZonesCondemn);
    CPPUNIT_TEST_SUITE_END();

    using Grade = VersionVerdict::Grade;

    static VersionRow row(std::uint64_t good, std::uint64_t failures)
    {
        VersionRow out;
        out.failures = failures;
        for (std::uint64_t i = 0; i < good; ++i)
            out.times.record(30ms);
        return out;
    }

    static Grade gradeOf(const VersionRow &zoneA, const VersionRow &zoneB)
    {
        VersionEvidence evidence;
        evidence.update({{{"route", false, ""}, row(276, 16)},
                         {{"route", true, "a"}, zoneA},
                         {{"route", true, "b"}, zoneB}},
                        TimePoint {1h});
        return evidence.judge().grade;
    }

public:
    // Guards against a version that gets more requests although a third of its answers are bad:
    // with two servers in use, the other zone alone has too few answers to confirm it.
    void badAnswersOfOneZoneHoldTheMoveUp()
    {
        CPPUNIT_ASSERT(gradeOf(row(8, 8), row(9, 3)) == Grade::Uncertain);
    }

    void fewBadAnswersAreGood() { CPPUNIT_ASSERT(gradeOf(row(14, 2), row(12, 0)) == Grade::Good); }

    void badAnswersOfBothZonesCondemn()
    {
        CPPUNIT_ASSERT(gradeOf(row(14, 10), row(12, 10)) == Grade::Bad);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionEvidenceTest);
