#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/protocol/RequestDigest.h"

#include <cppunit/extensions/HelperMacros.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

class RequestQuarantineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestQuarantineTest);
    CPPUNIT_TEST(partThatCrashesEnginesIsQuarantined);
    CPPUNIT_TEST(partsAboveTheCauseAreNotQuarantined);
    CPPUNIT_TEST(causeAboveDifferentPartsIsFound);
    CPPUNIT_TEST(partThatBeginsWellIsNotBlamed);
    CPPUNIT_TEST(startsLongAgoSayNothing);
    CPPUNIT_TEST(requestWithoutTheOtherSuspectsIsAdmitted);
    CPPUNIT_TEST(otherSuspectsAreReportedWithAQuarantine);
    CPPUNIT_TEST(quarantineOfAPartThatBeginsWellHereIsNotTakenOver);
    CPPUNIT_TEST(startClearsParts);
    CPPUNIT_TEST(startAfterTheCrashOutweighsItsReport);
    CPPUNIT_TEST(startOfAnotherProcessEndsAQuarantine);
    CPPUNIT_TEST(crashesOfOneMomentCountOnce);
    CPPUNIT_TEST(faultyEngineCountsOnce);
    CPPUNIT_TEST(lossOfAZoneQuarantinesNothing);
    CPPUNIT_TEST(crashesSeenByDifferentProcessesCount);
    CPPUNIT_TEST(newProcessLearnsOfQuarantines);
    CPPUNIT_TEST(wallClocksMayDiffer);
    CPPUNIT_TEST(clocksThatDifferMakeOneMomentOfAZoneLoss);
    CPPUNIT_TEST(clockStepOfAReporterBringsNoClearedCrashBack);
    CPPUNIT_TEST(clockStepOfAReaderBringsNoClearedCrashBack);
    CPPUNIT_TEST(reportsOfTheVersionBeforeCount);
    CPPUNIT_TEST(oneProcessTriesThePartAtTheEnd);
    CPPUNIT_TEST(partThatCrashesAgainIsQuarantinedLonger);
    CPPUNIT_TEST(newPartsDoNotEndAQuarantine);
    CPPUNIT_TEST(newPartsBesideADeadlyOneDoNotHideIt);
    CPPUNIT_TEST(startsOfAnotherProcessClearAReportedCrash);
    CPPUNIT_TEST(oldReportsQuarantineNothing);
    CPPUNIT_TEST(hostileReportsFillNothing);
    CPPUNIT_TEST(reportOfAMassFailureWaitsForClearing);
    CPPUNIT_TEST(evidenceIsBoundedAndForgotten);
    CPPUNIT_TEST(requestsWithTheSameCrashesAreBothAdmitted);
    CPPUNIT_TEST(deadlyPartIsFoundAmongDifferentRequests);
    CPPUNIT_TEST(partsOfARepeatedRequestAreNotBlamed);
    CPPUNIT_TEST(newQuarantineIsReportedAtOnceInAMassFailure);
    CPPUNIT_TEST(failuresOfAnotherServiceExcuseNothing);
    CPPUNIT_TEST(requestThatIsOftenAnsweredNeedsMoreCrashes);
    CPPUNIT_TEST(reportIsNotPutOffTwice);
    CPPUNIT_TEST(reportedCrashNamesItsService);
    CPPUNIT_TEST(reportIsPublishedWhenItChanges);
    CPPUNIT_TEST(partAtManyServersOfOneMomentIsFoundLater);
    CPPUNIT_TEST(trialThatCrashesIsCountedByAFullRecord);
    CPPUNIT_TEST(pairOfDeadlyRequestsIsNotAdmittedForever);
    CPPUNIT_TEST(requestWithAWithdrawnCrashIsReleased);
    CPPUNIT_TEST(requestOfManyCallersSurvivesTheLossOfAZone);
    CPPUNIT_TEST(refusedRequestTakesNoTrial);
    CPPUNIT_TEST(deadlyRequestThatCrashesAWholeZoneIsFound);
    CPPUNIT_TEST(deadlyRequestOfManyCallersIsFoundAfterAZone);
    CPPUNIT_TEST(newSuspectsOfOneCrashDoNotHideARepeatedRequest);
    CPPUNIT_TEST(newRequestsOfOneCrashDoNotHideARepeatedPart);
    CPPUNIT_TEST(startsDoNotRaiseTheThresholdAboveWhatIsKept);
    CPPUNIT_TEST(knownCrashesDoNotProlongAQuarantine);
    CPPUNIT_TEST(undatedQuarantineLastsNoLongerThanItsTime);
    CPPUNIT_TEST(longerQuarantineOfAnotherProcessIsTakenOver);
    CPPUNIT_TEST(startsOfOtherRequestsDoNotHideThoseOfOne);
    CPPUNIT_TEST(partsOfARequestRepeatedSlowlyAreNotBlamed);
    CPPUNIT_TEST(partsOfARequestLostTwiceAreNotBlamed);
    CPPUNIT_TEST(partIsRefusedOnceAnotherRequestCrashes);
    CPPUNIT_TEST(quarantinedPartWithOneKnownCrashIsRefused);
    CPPUNIT_TEST(deadlyRequestIsFoundAfterAZoneThatAnotherProcessSaw);
    CPPUNIT_TEST(partOfSeveralCrashingRequestsIsRefused);
    CPPUNIT_TEST(partOfThreeCrashingRequestsIsRefusedBesideOneWithoutIt);
    CPPUNIT_TEST_SUITE_END();

    using Parts = std::vector<std::string>;
    using Admission = RequestQuarantine::Admission;

public:
    void partThatCrashesEnginesIsQuarantined()
    {
        m_own.recordCrash("e1", m_deadly, m_now);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_deadly, m_now));
        m_own.recordCrash("e2", m_deadly, m_now + 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, m_deadly, m_now + 1s));
        CPPUNIT_ASSERT_EQUAL(std::string("deadly"), quarantined(m_own, m_deadly, m_now + 1s));
    }

    // Guards against rejecting sound requests that share the beginning of their prompt.
    void partsAboveTheCauseAreNotQuarantined()
    {
        crashTwice(m_own, m_deadly);
        CPPUNIT_ASSERT(isAdmitted(m_own, {"shared"}, m_now + 1s));
        CPPUNIT_ASSERT(isAdmitted(m_own, {"shared", "other"}, m_now + 1s));
    }

    void causeAboveDifferentPartsIsFound()
    {
        m_own.recordCrash("e1", Parts {"deadly", "x"}, m_now);
        m_own.recordCrash("e2", Parts {"deadly", "y"}, m_now + 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"deadly", "z"}, m_now + 1s));
        CPPUNIT_ASSERT(isAdmitted(m_own, {"x"}, m_now + 1s));
    }

    // Guards against quarantining a harmless part in place of one before it (review 5).
    void partThatBeginsWellIsNotBlamed()
    {
        for (int i = 0; i < 24; ++i)
            m_own.recordStart(Parts {"harmless"}, m_now - 2s);
        crashTwice(m_own, {"cause", "harmless"});
        CPPUNIT_ASSERT_EQUAL(std::string("cause"),
                             quarantined(m_own, {"cause", "harmless"}, m_now + 1s));
        CPPUNIT_ASSERT(isAdmitted(m_own, {"harmless", "other"}, m_now + 1s));
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"cause", "other"}, m_now + 1s));
    }

    void startsLongAgoSayNothing()
    {
        m_own.recordStart(m_deadly, m_now - 5min);
        crashTwice(m_own, m_deadly);
        CPPUNIT_ASSERT_EQUAL(std::string("deadly"), quarantined(m_own, m_deadly, m_now + 1s));
    }

    // Guards against rejecting sound requests where nothing tells which part is the cause.
    void requestWithoutTheOtherSuspectsIsAdmitted()
    {
        const Parts both = {"cause", "harmless"};
        crashTwice(m_own, both);
        CPPUNIT_ASSERT(!isAdmitted(m_own, both, m_now + 1s));
        CPPUNIT_ASSERT(isAdmitted(m_own, {"harmless", "other"}, m_now + 1s));
        m_own.recordStart(Parts {"harmless", "other"}, m_now + 2s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"cause", "new"}, m_now + 2s));
    }

    // Guards against a process that takes one of several possible causes for the only one.
    void otherSuspectsAreReportedWithAQuarantine()
    {
        const Parts both = {"cause", "harmless"};
        crashTwice(m_own, both);
        m_other.applyReport(m_own.takeDueReport(m_now + 1s).value(), m_now + 2s);
        CPPUNIT_ASSERT(!isAdmitted(m_other, both, m_now + 2s));
        RequestQuarantine next;
        next.applyReport(m_other.takeDueReport(m_now + 2s).value(), m_now + 3s);
        CPPUNIT_ASSERT(!isAdmitted(next, both, m_now + 3s));
        CPPUNIT_ASSERT(isAdmitted(next, {"harmless", "other"}, m_now + 3s));
    }

    // Guards against sound requests that are refused on the word of a process that knows less.
    void quarantineOfAPartThatBeginsWellHereIsNotTakenOver()
    {
        crashTwice(m_own, {"cause", "harmless"});
        m_other.recordStart(Parts {"harmless"}, m_now + 1100ms);
        m_own.recordCrash("e3", Parts {"harmless"}, m_now + 1s);
        CrashReport report = m_own.takeDueReport(m_now + 1200ms).value();
        for (auto &quarantine : report.quarantines)
            quarantine.sinceMs += 200;
        m_other.applyReport(report, m_now + 2s);
        CPPUNIT_ASSERT(isAdmitted(m_other, {"harmless", "new"}, m_now + 2s));
    }

    void startClearsParts()
    {
        m_own.recordCrash("e1", m_deadly, m_now);
        m_own.recordStart(m_deadly, m_now + 500ms);
        m_own.recordCrash("e2", m_deadly, m_now + 1s);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_deadly, m_now + 1s));
        m_own.recordCrash("e3", m_deadly, m_now + 2s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, m_deadly, m_now + 2s));
        m_own.recordStart(m_deadly, m_now + 3s);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_deadly, m_now + 3s));
        crashTwice(m_own, m_deadly, 4s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, m_deadly, m_now + 5s));
    }

    // Reports arrive late. Guards against counting a crash that a later start has cleared.
    void startAfterTheCrashOutweighsItsReport()
    {
        m_own.recordCrash("e1", m_deadly, m_now);
        const auto report = m_own.takeDueReport(m_now).value();
        m_other.recordStart(m_deadly, m_now + 500ms);
        m_other.applyReport(report, m_now + 1s);
        m_other.recordCrash("e2", m_deadly, m_now + 1500ms);
        CPPUNIT_ASSERT(isAdmitted(m_other, m_deadly, m_now + 1500ms));
    }

    void startOfAnotherProcessEndsAQuarantine()
    {
        crashTwice(m_own, m_deadly);
        m_other.applyReport(m_own.takeDueReport(m_now + 1s).value(), m_now + 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_other, m_deadly, m_now + 1s));
        m_other.takeDueReport(m_now + 1s);
        m_other.recordStart(m_deadly, m_now + 1500ms);
        m_own.applyReport(m_other.takeDueReport(m_now + 1500ms).value(), m_now + 2s);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_deadly, m_now + 2s));
    }

    // Guards against two reports of one failure that count as two.
    void crashesOfOneMomentCountOnce()
    {
        m_own.recordCrash("e1", m_deadly, m_now);
        m_own.recordCrash("e2", m_deadly, m_now + 100ms);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_deadly, m_now + 100ms));
    }

    // Guards against blaming prompts for an engine that breaks off each request.
    void faultyEngineCountsOnce()
    {
        for (int i = 0; i < 10; ++i)
            m_own.recordCrash("e1", m_deadly, m_now + i * 1s);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_deadly, m_now + 10s));
    }

    // Half of the engines of a zone had each begun to process another prompt, again and again.
    void lossOfAZoneQuarantinesNothing()
    {
        for (int loss = 0; loss < 5; ++loss) {
            const TimePoint at = m_now + loss * 2s;
            for (int engine = 0; engine < 6; ++engine) {
                const std::string name = std::to_string(loss) + "-" + std::to_string(engine);
                m_own.recordFailure(name, at);
                if (engine < 2)
                    m_own.recordCrash(name, Parts {"hot"}, at);
            }
        }
        CPPUNIT_ASSERT(isAdmitted(m_own, {"hot"}, m_now + 10s));
    }

    // Guards against a fault that no process sees whole.
    void crashesSeenByDifferentProcessesCount()
    {
        m_own.recordCrash("e1", m_deadly, m_now);
        m_other.applyReport(m_own.takeDueReport(m_now).value(), m_now + 200ms);
        m_other.recordCrash("e2", m_deadly, m_now + 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_other, m_deadly, m_now + 1200ms));
        m_own.applyReport(m_other.takeDueReport(m_now + 1200ms).value(), m_now + 1500ms);
        CPPUNIT_ASSERT(!isAdmitted(m_own, m_deadly, m_now + 1500ms));
    }

    void newProcessLearnsOfQuarantines()
    {
        crashTwice(m_own, m_deadly);
        const auto report = m_own.takeDueReport(m_now + 1s).value();
        RequestQuarantine started;
        started.applyReport(report, m_now + 10s);
        CPPUNIT_ASSERT(!isAdmitted(started, m_deadly, m_now + 10s));
        // It tells others in turn, once it relies on the quarantine.
        RequestQuarantine next;
        next.applyReport(started.takeDueReport(m_now + 10s).value(), m_now + 11s);
        CPPUNIT_ASSERT(!isAdmitted(next, m_deadly, m_now + 11s));
    }

    // Guards against evidence from the future that never ends.
    void wallClocksMayDiffer()
    {
        m_other.setUnixOffset(2000ms);
        crashTwice(m_other, m_deadly);
        m_own.applyReport(m_other.takeDueReport(m_now + 1s).value(), m_now + 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, m_deadly, m_now + 1s));
        m_own.recordStart(m_deadly, m_now + 1100ms);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_deadly, m_now + 1100ms));
    }

    // Guards against accusing the part of two sound requests, at a process that saw no failure.
    void clocksThatDifferMakeOneMomentOfAZoneLoss()
    {
        for (const auto skew : {-5000ms, -1000ms, 0ms, 1000ms, 2000ms, 5000ms}) {
            RequestQuarantine reporters[2];
            RequestQuarantine reader;
            reporters[1].setUnixOffset(skew);
            for (int i = 0; i < 2; ++i) {
                reporters[i].recordCrash("e" + std::to_string(i), Parts {"hot"}, m_now);
                reader.applyReport(reporters[i].takeDueReport(m_now + 200ms).value(),
                                   m_now + 300ms + i * 1s);
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(skew.count()) + " ms",
                                   isAdmitted(reader, {"hot"}, m_now + 1300ms));
        }
    }

    // Guards against counting a crash again that a start has cleared.
    void clockStepOfAReporterBringsNoClearedCrashBack()
    {
        m_own.recordCrash("e1", Parts {"hot"}, m_now);
        m_other.applyReport(m_own.takeDueReport(m_now).value(), m_now + 100ms);
        m_other.recordStart(Parts {"hot"}, m_now + 500ms);
        m_own.setUnixOffset(3000ms);
        m_own.recordCrash("e9", Parts {"cold"}, m_now + 4s);
        m_other.applyReport(m_own.takeDueReport(m_now + 4s).value(), m_now + 4100ms);
        m_other.recordCrash("e2", Parts {"hot"}, m_now + 8s);
        CPPUNIT_ASSERT(isAdmitted(m_other, {"hot"}, m_now + 8s));
    }

    void clockStepOfAReaderBringsNoClearedCrashBack()
    {
        m_own.recordCrash("e1", Parts {"hot"}, m_now);
        const auto report = m_own.takeDueReport(m_now).value();
        m_other.applyReport(report, m_now + 100ms);
        m_other.recordStart(Parts {"hot"}, m_now + 500ms);
        m_other.setUnixOffset(-3000ms);
        m_other.applyReport(report, m_now + 4s);
        m_other.recordCrash("e2", Parts {"hot"}, m_now + 8s);
        CPPUNIT_ASSERT(isAdmitted(m_other, {"hot"}, m_now + 8s));
    }

    // Guards against gateways that are on their own during a roll-out.
    void reportsOfTheVersionBeforeCount()
    {
        m_own.recordCrash("e1", m_deadly, m_now);
        auto report = m_own.takeDueReport(m_now).value();
        report.dating.reset();
        m_other.applyReport(report, m_now);
        m_other.recordCrash("e2", m_deadly, m_now + 6s);
        CPPUNIT_ASSERT(!isAdmitted(m_other, m_deadly, m_now + 6s));
        RequestQuarantine next;
        report = m_other.takeDueReport(m_now + 6s).value();
        report.dating.reset();
        next.applyReport(report, m_now + 6s);
        CPPUNIT_ASSERT(!isAdmitted(next, m_deadly, m_now + 6s));
    }

    // Guards against a rush of deadly requests when a quarantine ends everywhere.
    void oneProcessTriesThePartAtTheEnd()
    {
        m_own.setHooks({nullptr, nullptr, nullptr, [](std::string_view) { return true; }});
        crashTwice(m_own, m_deadly);
        m_other.applyReport(m_own.takeDueReport(m_now + 1s).value(), m_now + 1s);
        const TimePoint end = m_now + 21s;
        m_own.expire(end);
        m_other.expire(end);
        CPPUNIT_ASSERT(m_other.admit(m_deadly, end) == Admission::Rejected);
        CPPUNIT_ASSERT(m_own.admit(m_deadly, end) == Admission::Trial);
        CPPUNIT_ASSERT(m_own.admit(m_deadly, end) == Admission::Rejected);
        m_own.recordStart(m_deadly, end + 1s);
        CPPUNIT_ASSERT(m_own.admit(m_deadly, end + 1s) == Admission::Admitted);
        m_other.applyReport(m_own.takeDueReport(end + 1s).value(), end + 2s);
        CPPUNIT_ASSERT(m_other.admit(m_deadly, end + 2s) == Admission::Admitted);
    }

    void partThatCrashesAgainIsQuarantinedLonger()
    {
        m_own.setHooks({nullptr, nullptr, nullptr, [](std::string_view) { return true; }});
        crashTwice(m_own, m_deadly);
        const TimePoint end = m_now + 21s;
        CPPUNIT_ASSERT(m_own.admit(m_deadly, end) == Admission::Trial);
        m_own.recordCrash("e3", m_deadly, end + 1s);
        CPPUNIT_ASSERT(m_own.admit(m_deadly, end + 40s) == Admission::Rejected);
        CPPUNIT_ASSERT(m_own.admit(m_deadly, end + 42s) == Admission::Trial);
    }

    // Guards against callers that send a new part with each request.
    void newPartsDoNotEndAQuarantine()
    {
        crashTwice(m_own, m_deadly);
        for (int i = 0; i < 2000; ++i)
            m_own.recordCrash("n" + std::to_string(i), Parts {"part-" + std::to_string(i)},
                              m_now + 1s + i * 1ms);
        CPPUNIT_ASSERT(!isAdmitted(m_own, m_deadly, m_now + 4s));
        CPPUNIT_ASSERT(m_own.size() <= RequestQuarantine::Settings {}.maxSuspects);
    }

    void newPartsBesideADeadlyOneDoNotHideIt()
    {
        for (int i = 0; i < 3; ++i) {
            Parts parts;
            for (int part = 0; part < 200; ++part)
                parts.push_back(std::to_string(i * 200 + part));
            parts.push_back("deadly");
            m_own.recordCrash("e" + std::to_string(i), parts, m_now + i * 1s);
        }
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"deadly"}, m_now + 3s));
    }

    // Guards against a sound part that one gateway suspects although others start it all the time.
    void startsOfAnotherProcessClearAReportedCrash()
    {
        m_own.recordCrash("e1", m_deadly, m_now);
        m_other.recordStart(m_deadly, m_now + 500ms);
        m_other.applyReport(m_own.takeDueReport(m_now).value(), m_now + 1s);
        m_own.applyReport(m_other.takeDueReport(m_now + 1s).value(), m_now + 2s);
        m_own.recordCrash("e2", m_deadly, m_now + 20s);
        CPPUNIT_ASSERT(isAdmitted(m_own, m_deadly, m_now + 20s));
    }

    void oldReportsQuarantineNothing()
    {
        crashTwice(m_own, m_deadly);
        const auto report = m_own.takeDueReport(m_now + 1s).value();
        m_other.applyReport(report, m_now + 1h);
        CPPUNIT_ASSERT(isAdmitted(m_other, m_deadly, m_now + 1h));
        // It is withdrawn as well.
        m_own.expire(m_now + 1h);
        CPPUNIT_ASSERT(m_own.takeDueReport(m_now + 1h).value().quarantines.empty());
    }

    void hostileReportsFillNothing()
    {
        constexpr std::int64_t farAheadMs = 3'999'999'999'999;
        CrashReport hostile;
        for (int i = 0; i < 512; ++i)
            hostile.quarantines.push_back({"h" + std::to_string(i), farAheadMs, farAheadMs});
        m_own.applyReport(hostile, m_now);
        CPPUNIT_ASSERT(isAdmitted(m_own, {"h0"}, m_now));
        crashTwice(m_own, m_deadly);
        CPPUNIT_ASSERT(!isAdmitted(m_own, m_deadly, m_now + 1s));
    }

    // Guards against a write to the store for each process that loses requests with a zone.
    void reportOfAMassFailureWaitsForClearing()
    {
        for (int i = 0; i < 6; ++i)
            m_own.recordCrash("e" + std::to_string(i), Parts {"p" + std::to_string(i)}, m_now);
        m_own.recordStart(Parts {"p0"}, m_now + 300ms);
        CPPUNIT_ASSERT(!m_own.takeDueReport(m_now + 300ms));
        CPPUNIT_ASSERT(m_own.takeDueReport(m_now + 3s));
    }

    void evidenceIsBoundedAndForgotten()
    {
        for (int i = 0; i < 1000; ++i) {
            Parts parts;
            for (int part = 0; part < 50; ++part)
                parts.push_back(std::to_string(i * 50 + part));
            m_own.recordCrash("e" + std::to_string(i), parts, m_now);
        }
        CPPUNIT_ASSERT(m_own.size() <= RequestQuarantine::Settings {}.maxSuspects);
        const auto report = m_own.takeDueReport(m_now + 5s).value();
        CPPUNIT_ASSERT(report.crashes.size() <= 16);
        m_own.expire(m_now + 2min);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_own.size());
    }

    // Guards against refusing a sound request that was lost with a deadly one each time.
    void requestsWithTheSameCrashesAreBothAdmitted()
    {
        const Parts deadly = {wholeRequest("deadly")};
        const Parts sound = {wholeRequest("sound")};
        crashThrice(m_own, deadly);
        crashThrice(m_own, sound);
        CPPUNIT_ASSERT(isAdmitted(m_own, sound, m_now + 1s));
        CPPUNIT_ASSERT(isAdmitted(m_own, deadly, m_now + 1s));
        m_own.recordCrash("e4", deadly, m_now + 2s);
        CPPUNIT_ASSERT(isAdmitted(m_own, sound, m_now + 2s));
        CPPUNIT_ASSERT(!isAdmitted(m_own, deadly, m_now + 2s));
    }

    void deadlyPartIsFoundAmongDifferentRequests()
    {
        m_own.recordCrash("e1", Parts {"deadly", wholeRequest("one")}, m_now);
        m_own.recordCrash("e2", Parts {"deadly", wholeRequest("two")}, m_now + 1s);
        const Parts third = {"deadly", wholeRequest("three")};
        CPPUNIT_ASSERT_EQUAL(std::string("deadly"), quarantined(m_own, third, m_now + 1s));
    }

    // Guards against refusing sound requests that share the parts of one that is deadly itself.
    void partsOfARepeatedRequestAreNotBlamed()
    {
        crashThrice(m_own, {"shared", wholeRequest("deadly")});
        CPPUNIT_ASSERT(isAdmitted(m_own, {"shared", wholeRequest("other")}, m_now + 1s));
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"shared", wholeRequest("deadly")}, m_now + 1s));
    }

    // Guards against gateways that learn of a deadly request seconds late, because three servers
    // failed.
    void newQuarantineIsReportedAtOnceInAMassFailure()
    {
        const Parts deadly = {wholeRequest("deadly")};
        crashThrice(m_own, deadly);
        m_own.recordCrash("e4", Parts {wholeRequest("sound")}, m_now + 1s);
        m_own.recordCrash("e5", Parts {wholeRequest("other")}, m_now + 1s);
        CPPUNIT_ASSERT(m_own.takeDueReport(m_now + 1s));
    }

    // Guards against a deadly call that is not found while engines fail.
    void failuresOfAnotherServiceExcuseNothing()
    {
        const Parts deadly = {wholeRequest("deadly")};
        for (int moment = 0; moment < 3; ++moment) {
            const TimePoint at = m_now + moment * 1s;
            for (int i = 0; i < 6; ++i)
                m_own.recordFailure("engine" + std::to_string(6 * moment + i), "engine", at, at);
            m_own.recordCrash("s" + std::to_string(moment), deadly, crashOfPlainServer(at), at);
        }
        CPPUNIT_ASSERT(!isAdmitted(m_own, deadly, m_now + 2s));
    }

    // Guards against refusing a call that many callers make, because its servers crash.
    void requestThatIsOftenAnsweredNeedsMoreCrashes()
    {
        const Parts hot = {wholeRequest("hot")};
        for (int i = 0; i < 24; ++i)
            m_own.recordStart(hot, m_now - 1s);
        crashThrice(m_own, hot);
        CPPUNIT_ASSERT(isAdmitted(m_own, hot, m_now + 1s));
    }

    // Guards against evidence that never leaves a process because servers fail all the time.
    void reportIsNotPutOffTwice()
    {
        for (int i = 0; i < 20; ++i)
            m_own.recordCrash("e" + std::to_string(i), Parts {wholeRequest(std::to_string(i))},
                              m_now + i * 200ms);
        CPPUNIT_ASSERT(m_own.takeDueReport(m_now + 3800ms));
    }

    void reportedCrashNamesItsService()
    {
        m_own.recordCrash("s1", m_deadly, crashOfPlainServer(m_now), m_now);
        const auto report = m_own.takeDueReport(m_now).value();
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), report.crashes.at(0).service);
    }

    // Each report is a write to the store.
    void reportIsPublishedWhenItChanges()
    {
        CPPUNIT_ASSERT(!m_own.takeDueReport(m_now));
        m_own.recordStart(m_deadly, m_now);
        CPPUNIT_ASSERT(!m_own.takeDueReport(m_now));
        m_own.recordCrash("e1", m_deadly, m_now + 1s);
        CPPUNIT_ASSERT(m_own.takeDueReport(m_now + 1s));
        CPPUNIT_ASSERT(!m_own.takeDueReport(m_now + 2s));
        m_own.onReportNotPublished();
        CPPUNIT_ASSERT(m_own.takeDueReport(m_now + 2s));
    }

    // Guards against a deadly part that is admitted for a minute because its record is full of
    // crashes of one moment.
    void partAtManyServersOfOneMomentIsFoundLater()
    {
        for (int i = 0; i < 16; ++i)
            m_own.recordCrash("first" + std::to_string(i), m_deadly, m_now + i * 10ms);
        for (int i = 1; i <= 10; ++i)
            m_own.recordCrash("later" + std::to_string(i), m_deadly, m_now + i * 2s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, m_deadly, m_now + 20s));
    }

    // Guards against all processes admitting a deadly request after its trial, because its record
    // has no room for the crash of the trial.
    void trialThatCrashesIsCountedByAFullRecord()
    {
        RequestQuarantine::Hooks hooks;
        hooks.isTrialOwner = [](std::string_view) { return true; };
        m_own.setHooks(std::move(hooks));
        const Parts deadly = {wholeRequest("deadly")};
        for (int i = 0; i < 20; ++i)
            m_other.recordCrash("e" + std::to_string(i), deadly, m_now + i * 50ms);
        m_own.applyReport(m_other.takeDueReport(m_now + 1s).value(), m_now + 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, deadly, m_now + 2s));
        const TimePoint trialAt = m_now + 25s;
        m_own.expire(trialAt);
        CPPUNIT_ASSERT(m_own.admit(deadly, trialAt) == Admission::Trial);
        m_own.recordCrash("trial", deadly, trialAt + 1s);
        m_own.expire(m_now + 41s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, deadly, m_now + 41s));
    }

    // Guards against a quarantine that is prolonged without a new crash, by a report that is read
    // again at its end.
    void knownCrashesDoNotProlongAQuarantine()
    {
        const Parts sound = {wholeRequest("sound")};
        crashThrice(m_own, sound);
        m_own.recordCrash("e4", sound, m_now + 1200ms);
        const CrashReport report = m_own.takeDueReport(m_now + 1200ms).value();
        m_own.applyReport(report, m_now + 22s);
        m_own.expire(m_now + 40s);
        CPPUNIT_ASSERT(isAdmitted(m_own, sound, m_now + 40s));
    }

    // Guards against refusing requests for longer than the process that reported the quarantine.
    void undatedQuarantineLastsNoLongerThanItsTime()
    {
        crashTwice(m_own, m_deadly);
        CrashReport report = m_own.takeDueReport(m_now + 1s).value();
        report.dating.reset();
        m_other.applyReport(report, m_now + 1s);
        m_other.expire(m_now + 35s);
        CPPUNIT_ASSERT(!isAdmitted(m_other, m_deadly, m_now + 35s));
        m_other.expire(m_now + 36s);
        CPPUNIT_ASSERT(isAdmitted(m_other, m_deadly, m_now + 36s));
    }

    // Guards against deadly requests that are admitted at the end of the first quarantine, although
    // the part has crashed a server at its trial elsewhere.
    void longerQuarantineOfAnotherProcessIsTakenOver()
    {
        crashTwice(m_own, m_deadly);
        m_other.applyReport(m_own.takeDueReport(m_now + 1s).value(), m_now + 1s);
        m_own.recordCrash("e3", m_deadly, m_now + 22s);
        m_other.applyReport(m_own.takeDueReport(m_now + 22s).value(), m_now + 23s);
        m_other.expire(m_now + 50s);
        CPPUNIT_ASSERT(!isAdmitted(m_other, m_deadly, m_now + 50s));
    }

    // Guards against two deadly requests that are always sent together and crash servers without
    // end, since neither is told from the other.
    void pairOfDeadlyRequestsIsNotAdmittedForever()
    {
        const Parts one = {wholeRequest("one")};
        const Parts two = {wholeRequest("two")};
        for (int i = 0; i < 12; ++i) {
            const TimePoint at = m_now + i * 3s;
            m_own.recordCrash("e" + std::to_string(i), one, at);
            m_own.recordCrash("e" + std::to_string(i), two, at + 1ms);
        }
        CPPUNIT_ASSERT(!isAdmitted(m_own, one, m_now + 34s)
                       || !isAdmitted(m_own, two, m_now + 34s));
    }

    // Guards against refusing a request for crashes that are too few to quarantine it.
    void requestWithAWithdrawnCrashIsReleased()
    {
        const Parts sound = {wholeRequest("sound")};
        crashThrice(m_own, sound);
        CPPUNIT_ASSERT(!isAdmitted(m_own, sound, m_now + 1s));
        m_own.withdrawCrash("e3");
        CPPUNIT_ASSERT(isAdmitted(m_own, sound, m_now + 2s));
    }

    // Guards against refusing a read that many callers make at once, because the zone of its
    // servers is lost.
    void requestOfManyCallersSurvivesTheLossOfAZone()
    {
        const Parts read = {wholeRequest("read")};
        crashZone(m_own, read, 1ms);
        CPPUNIT_ASSERT(isAdmitted(m_own, read, m_now + 1s));
    }

    // Guards against a trial that ends without a request, because a later suspect of the request
    // that took it is still quarantined.
    void refusedRequestTakesNoTrial()
    {
        RequestQuarantine::Hooks hooks;
        hooks.isTrialOwner = [](std::string_view suspect) { return suspect == "first"; };
        m_own.setHooks(hooks);
        for (int i = 0; i < 2; ++i) {
            m_own.recordCrash("a" + std::to_string(i), Parts {"first"}, m_now + i * 1s);
            m_own.recordCrash("b" + std::to_string(i), Parts {"second"}, m_now + (i + 5) * 1s);
        }
        const TimePoint end = m_now + 27s;
        CPPUNIT_ASSERT(m_own.admit(Parts {"first", "second"}, end) == Admission::Rejected);
        CPPUNIT_ASSERT(m_own.admit(Parts {"first"}, end) == Admission::Trial);
        CPPUNIT_ASSERT(m_own.admit(Parts {"first"}, end) == Admission::Rejected);
    }

    // Guards against a deadly request that is excused because it has crashed the whole zone, when
    // each failed attempt is sent again at once.
    void deadlyRequestThatCrashesAWholeZoneIsFound()
    {
        const Parts deadly = {wholeRequest("deadly")};
        crashZone(m_own, deadly, 50ms);
        CPPUNIT_ASSERT(!isAdmitted(m_own, deadly, m_now + 1s));
    }

    // As above, when many callers send it at the same moment.
    void deadlyRequestOfManyCallersIsFoundAfterAZone()
    {
        const Parts deadly = {wholeRequest("deadly")};
        crashZone(m_own, deadly, 1ms);
        m_own.recordCrash("other", deadly, crashOfPlainServer(m_now + 1s), m_now + 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, deadly, m_now + 1s));
    }

    // Guards against callers that keep a quarantine from beginning with many suspects of their own.
    void newSuspectsOfOneCrashDoNotHideARepeatedRequest()
    {
        const Parts deadly = {wholeRequest("deadly")};
        for (int server = 0; server < 10; ++server) {
            const TimePoint at = m_now + server * 1s;
            const std::string name = "e" + std::to_string(server);
            for (int request = 0; request < 32; ++request) {
                Parts parts;
                for (int part = 0; part < 32; ++part)
                    parts.push_back(name + "-" + std::to_string(request) + "-"
                                    + std::to_string(part));
                m_own.recordCrash(name, parts, at);
            }
            m_own.recordCrash(name, deadly, at);
        }
        CPPUNIT_ASSERT(!isAdmitted(m_own, deadly, m_now + 10s));
    }

    void newRequestsOfOneCrashDoNotHideARepeatedPart()
    {
        const Parts deadly = {"deadly"};
        for (int server = 0; server < 4; ++server) {
            const TimePoint at = m_now + server * 1s;
            const std::string name = "e" + std::to_string(server);
            m_own.recordCrash(name, deadly, at);
            for (int request = 0; request < 1024; ++request)
                m_own.recordCrash(name, Parts {wholeRequest(name + std::to_string(request))}, at);
            CPPUNIT_ASSERT(m_own.size() <= RequestQuarantine::Settings().maxSuspects);
        }
        CPPUNIT_ASSERT(!isAdmitted(m_own, deadly, m_now + 4s));
    }

    // Guards against a request that was answered often, then turns deadly, and needs more crashes
    // than a record keeps.
    void startsDoNotRaiseTheThresholdAboveWhatIsKept()
    {
        const Parts hot = {wholeRequest("hot")};
        for (int i = 0; i < 2000; ++i)
            m_own.recordStart(hot, m_now - 100ms);
        int crashes = 0;
        TimePoint at = m_now;
        for (; crashes < 60 && isAdmitted(m_own, hot, at); ++crashes, at += 500ms)
            m_own.recordCrash("e" + std::to_string(crashes), hot, at);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(crashes) + " crashes", crashes <= 16);
    }

    // Guards against refusing a request that is often answered, because its gateway answers
    // thousands of others, too.
    void startsOfOtherRequestsDoNotHideThoseOfOne()
    {
        const Parts hot = {wholeRequest("hot")};
        for (int i = 0; i < 24; ++i)
            m_own.recordStart(hot, m_now - 3s);
        for (int i = 0; i < 5000; ++i)
            m_own.recordStart(Parts {wholeRequest(std::to_string(i))}, m_now - 1s);
        crashThrice(m_own, hot);
        CPPUNIT_ASSERT(isAdmitted(m_own, hot, m_now + 1s));
    }

    // Guards against refusing sound requests that share a part with a deadly one that is sent
    // again, when its crashes are a second apart.
    void partsOfARequestRepeatedSlowlyAreNotBlamed()
    {
        for (int i = 0; i < 3; ++i)
            m_own.recordCrash("e" + std::to_string(i), Parts {"shared", wholeRequest("deadly")},
                              m_now + i * 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"shared", wholeRequest("deadly")}, m_now + 3s));
        CPPUNIT_ASSERT(isAdmitted(m_own, {"shared", wholeRequest("other")}, m_now + 3s));
    }

    // As above, with the two crashes after which the deadly one is refused and crashes no more.
    void partsOfARequestLostTwiceAreNotBlamed()
    {
        crashTwice(m_own, {"shared", wholeRequest("deadly")});
        CPPUNIT_ASSERT(isAdmitted(m_own, {"shared", wholeRequest("other")}, m_now + 2s));
    }

    // Guards against a deadly part that is excused because one request with it was lost twice.
    void partIsRefusedOnceAnotherRequestCrashes()
    {
        crashTwice(m_own, {"deadly", wholeRequest("one")});
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"deadly", wholeRequest("one")}, m_now + 2s));
        m_own.recordCrash("e3", Parts {"deadly", wholeRequest("two")}, m_now + 3s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"deadly", wholeRequest("two")}, m_now + 3s));
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"deadly", wholeRequest("three")}, m_now + 3s));
    }

    // Guards against a deadly part that is admitted because only the first crash behind its
    // quarantine is known here.
    void quarantinedPartWithOneKnownCrashIsRefused()
    {
        crashTwice(m_own, {"deadly", wholeRequest("one")});
        CrashReport report = m_own.takeDueReport(m_now + 1s).value();
        report.crashes.resize(1);
        m_other.applyReport(report, m_now + 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_other, {"deadly", wholeRequest("two")}, m_now + 2s));
    }

    // As deadlyRequestOfManyCallersIsFoundAfterAZone, when the later crashes are those of another
    // process, which holds the excuse as the report gave it.
    void deadlyRequestIsFoundAfterAZoneThatAnotherProcessSaw()
    {
        const Parts deadly = {wholeRequest("deadly")};
        crashZone(m_own, deadly, 1ms);
        m_other.applyReport(m_own.takeDueReport(m_now + 4s).value(), m_now + 4s);
        for (int i = 0; i < 2; ++i) {
            const TimePoint at = m_now + 5s + i * 1s;
            m_other.recordCrash("x" + std::to_string(i), deadly, crashOfPlainServer(at), at);
        }
        CPPUNIT_ASSERT(!isAdmitted(m_other, deadly, m_now + 6s));
    }

    // Guards against a deadly part that is excused although two requests with it crashed servers,
    // because a request without it was lost beside both: its retry went where the second one went.
    void partOfSeveralCrashingRequestsIsRefused()
    {
        crashBeside(1, m_now);
        crashBeside(2, m_now + 1s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"shared", "deadly", wholeRequest("next")}, m_now + 1s));
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"shared", "deadly", wholeRequest("next")}, m_now + 3s));
    }

    // As above, with a request that was lost at a third crash, too.
    void partOfThreeCrashingRequestsIsRefusedBesideOneWithoutIt()
    {
        for (int number = 1; number <= 3; ++number)
            crashBeside(number, m_now + number * 2s);
        CPPUNIT_ASSERT(!isAdmitted(m_own, {"shared", "deadly", wholeRequest("next")}, m_now + 9s));
    }

private:
    // A server crashes under a request with a deadly part and a sound one without it.
    void crashBeside(int number, TimePoint at)
    {
        const std::string server = "e" + std::to_string(number);
        const std::string deadly = wholeRequest("deadly" + std::to_string(number));
        m_own.recordCrash(server, Parts {"shared", "deadly", deadly}, at);
        m_own.recordCrash(server, Parts {"shared", wholeRequest("sound")}, at);
    }

    void crashTwice(RequestQuarantine &quarantine, const Parts &parts, Duration after = 0s) const
    {
        quarantine.recordCrash("e1", parts, m_now + after);
        quarantine.recordCrash("e2", parts, m_now + after + 1s);
    }

    void crashThrice(RequestQuarantine &quarantine, const Parts &suspects) const
    {
        for (int i = 1; i <= 3; ++i)
            quarantine.recordCrash("e" + std::to_string(i), suspects, m_now + i * 300ms);
    }

    /// All five servers of a zone fail; each finds the others silent.
    void crashZone(RequestQuarantine &quarantine, const Parts &suspects, Duration interval) const
    {
        for (int i = 0; i < 5; ++i) {
            RequestQuarantine::ProvenCrash crash = crashOfPlainServer(m_now + i * interval);
            for (int peer = 0; peer < 5; ++peer) {
                if (peer != i)
                    crash.failedPeers.push_back("e" + std::to_string(peer));
            }
            crash.askedPeers = crash.failedPeers.size();
            quarantine.recordCrash("e" + std::to_string(i), suspects, crash, crash.at + 10ms);
        }
    }

    static RequestQuarantine::ProvenCrash crashOfPlainServer(TimePoint at)
    {
        RequestQuarantine::ProvenCrash crash;
        crash.service = "plain";
        crash.at = at;
        return crash;
    }

    static std::string wholeRequest(std::string_view content)
    {
        return RequestDigest::of(std::span(&content, 1));
    }

    static bool isAdmitted(RequestQuarantine &quarantine, const Parts &parts, TimePoint now)
    {
        return quarantine.admit(parts, now) == Admission::Admitted;
    }

    static std::string quarantined(const RequestQuarantine &quarantine, const Parts &parts,
                                   TimePoint now)
    {
        return std::string(quarantine.quarantinedSuspect(parts, now));
    }

    const TimePoint m_now {1h};
    const Parts m_deadly = {"shared", "deadly"};
    RequestQuarantine m_own;
    RequestQuarantine m_other;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQuarantineTest);
