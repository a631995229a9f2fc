#include "foxtailring/decisions/quarantine/SuspectedCrashes.h"
#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/quarantine/CrashChecks.h"
#include "foxtailring/decisions/quarantine/RequestQuarantine.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

// Silent servers, and what tells a crash from a pause.
class SuspectedCrashesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SuspectedCrashesTest);
    CPPUNIT_TEST(silenceAloneIsNoCrash);
    CPPUNIT_TEST(laterStartIsACrash);
    CPPUNIT_TEST(laterEntryIsACrash);
    CPPUNIT_TEST(removedEntryIsACrash);
    CPPUNIT_TEST(entryRemovedWhileTheListIsLostIsNoCrash);
    CPPUNIT_TEST(secondUnansweredProbeIsACrash);
    CPPUNIT_TEST(reportOfTheSameStartClears);
    CPPUNIT_TEST(reportWithoutAStartTimeClears);
    CPPUNIT_TEST(bytesClear);
    CPPUNIT_TEST(startAfterTheSilenceBeganOutweighsIt);
    CPPUNIT_TEST(serverThatPausesTwiceIsNoCrash);
    CPPUNIT_TEST(eachServerIsAskedOnceAtATime);
    CPPUNIT_TEST(suspicionsAreBounded);
    CPPUNIT_TEST(silentZoneAccusesNobody);
    CPPUNIT_TEST(pauseOfOthersDoesNotHideACrash);
    CPPUNIT_TEST(signOfLifeAfterSilenceRefutesTheCrash);
    CPPUNIT_TEST(unconfirmedStartIsAskedAgain);
    CPPUNIT_TEST(endOfALeavingServerIsNoCrash);
    CPPUNIT_TEST(crashesOfWholeZonesAccuseNobody);
    CPPUNIT_TEST(crashesInSoundZonesAccuse);
    CPPUNIT_TEST(zoneIsAskedWhileItIsSilent);
    CPPUNIT_TEST(resetByALivingServerIsNoCrash);
    CPPUNIT_TEST(requestThatIsOverdueAfterTheProofCounts);
    CPPUNIT_TEST(requestThatIsOverdueAfterOthersShowedTheCrashCounts);
    CPPUNIT_TEST(requestSentToACrashedServerIsNotAccused);
    CPPUNIT_TEST(overdueRequestAtALivingServerIsNotAccused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_crashes.setHooks(hooks());
        for (int i = 0; i < 100; ++i)
            m_servers.put(server(i), m_now);
    }

    // Guards against a prompt that is refused because sound servers paused.
    void silenceAloneIsNoCrash()
    {
        suspectTwo();
        m_crashes.update(m_servers, m_now + 1300ms);
        CPPUNIT_ASSERT(isAdmitted());
        CPPUNIT_ASSERT(m_evidence.empty());
        for (const BackendState &one : m_crashes.takeDueProbes(m_servers, m_now + 1900ms))
            m_crashes.recordProbed(one.info, m_now + 2s);
        CPPUNIT_ASSERT(isAdmitted());
        CPPUNIT_ASSERT(m_evidence.empty());
    }

    void laterStartIsACrash()
    {
        suspectTwo();
        m_crashes.recordReport("s0", 2, m_now + 1300ms);
        CPPUNIT_ASSERT(isAdmitted());
        m_crashes.recordReport("s1", 2, m_now + 1400ms);
        assertCrashes(CrashEvidence::Restarted);
        CPPUNIT_ASSERT(m_crashes.hasCrashed(server(0)));
        CPPUNIT_ASSERT(!m_crashes.hasCrashed(server(0, 2)));
    }

    void laterEntryIsACrash()
    {
        suspectTwo();
        m_servers.put(server(0, 2), m_now + 1300ms);
        m_servers.put(server(1, 2), m_now + 1300ms);
        m_crashes.update(m_servers, m_now + 1300ms);
        assertCrashes(CrashEvidence::Restarted);
    }

    void removedEntryIsACrash()
    {
        suspectTwo();
        m_servers.remove("s0", m_now + 1300ms);
        m_servers.remove("s1", m_now + 1300ms);
        m_crashes.update(m_servers, m_now + 1300ms);
        assertCrashes(CrashEvidence::Lapsed);
    }

    // Guards against taking the loss of the store for the loss of servers.
    void entryRemovedWhileTheListIsLostIsNoCrash()
    {
        suspectTwo();
        m_servers.onListLost(m_now);
        m_servers.remove("s0", m_now + 1300ms);
        m_servers.remove("s1", m_now + 1300ms);
        m_crashes.update(m_servers, m_now + 1300ms);
        CPPUNIT_ASSERT(m_evidence.empty());
    }

    void secondUnansweredProbeIsACrash()
    {
        suspectTwo();
        const TimePoint later = m_now + 3s;
        for (const BackendState &one : m_crashes.takeDueProbes(m_servers, later))
            m_crashes.recordProbed(one.info, later + 250ms);
        assertCrashes(CrashEvidence::Silent);
    }

    void reportOfTheSameStartClears()
    {
        suspectTwo();
        m_crashes.recordReport("s0", 1, m_now + 1300ms);
        m_crashes.recordReport("s1", 1, m_now + 1300ms);
        m_crashes.recordProbed(server(0), m_now + 3s);
        assertCleared("report");
    }

    void reportWithoutAStartTimeClears()
    {
        suspectTwo();
        m_crashes.recordReport("s0", 0, m_now + 1300ms);
        m_crashes.recordReport("s1", 0, m_now + 1300ms);
        assertCleared("report");
    }

    void bytesClear()
    {
        suspectTwo();
        m_crashes.recordBytes(server(0, 2));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_crashes.size());
        m_crashes.recordBytes(server(0));
        m_crashes.recordBytes(server(1));
        assertCleared("bytes");
    }

    // Proof comes seconds after the crash. Guards against a crash that is dated by its proof.
    void startAfterTheSilenceBeganOutweighsIt()
    {
        suspectTwo();
        m_quarantine.recordStart(m_parts, m_now + 1200ms);
        m_crashes.recordReport("s0", 2, m_now + 1300ms);
        m_crashes.recordReport("s1", 2, m_now + 3s);
        CPPUNIT_ASSERT(isAdmitted());
    }

    // Guards against counting a sound server as crashed because nobody asked it between two pauses.
    void serverThatPausesTwiceIsNoCrash()
    {
        m_crashes.suspect(server(0), m_parts, m_now, m_now + 500ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_crashes.takeDueProbes(m_servers, m_now + 1s).size());
        m_crashes.recordProbed(server(0), m_now + 1250ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             m_crashes.takeDueProbes(m_servers, m_now + 1500ms).size());
        m_crashes.recordReport("s0", 1, m_now + 1510ms);
        m_crashes.recordProbed(server(0), m_now + 1510ms);
        CPPUNIT_ASSERT(m_crashes.takeDueProbes(m_servers, m_now + 2100ms).empty());
        CPPUNIT_ASSERT(m_evidence.empty());
    }

    void eachServerIsAskedOnceAtATime()
    {
        suspectTwo();
        const TimePoint later = m_now + 3s;
        const auto due = m_crashes.takeDueProbes(m_servers, later);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), due.size());
        CPPUNIT_ASSERT(m_crashes.takeDueProbes(m_servers, later).empty());
        m_crashes.recordNotProbed(due[0].info);
        CPPUNIT_ASSERT(m_crashes.takeDueProbes(m_servers, later + 400ms).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             m_crashes.takeDueProbes(m_servers, later + 500ms).size());
    }

    void suspicionsAreBounded()
    {
        for (int i = 0; i < 100; ++i)
            m_crashes.suspect(server(i), m_parts, m_now, m_now + 500ms);
        CPPUNIT_ASSERT_EQUAL(SuspectedCrashes::maxServers, m_crashes.size());
    }

    // Two zones lose power, one after the other; one server of each processes the prompt.
    void silentZoneAccusesNobody()
    {
        for (int loss = 0; loss < 2; ++loss) {
            const TimePoint at = m_now + loss * 2s;
            for (int i = 1; i < 4; ++i)
                m_quarantine.recordFailure(name(10 * loss + i), {}, at + i * 100ms, at + 600ms);
            m_crashes.suspect(server(10 * loss), m_parts, at, at + 500ms);
            m_crashes.recordProbed(server(10 * loss), at + 2s);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_evidence.size());
        CPPUNIT_ASSERT(isAdmitted());
    }

    // Guards against deadly parts that are found late beside sound servers that pause.
    void pauseOfOthersDoesNotHideACrash()
    {
        for (int crash = 0; crash < 2; ++crash) {
            const TimePoint at = m_now + crash * 2s;
            for (int i = 1; i < 4; ++i) {
                const BackendInfo paused = server(10 * crash + i);
                m_quarantine.recordFailure(name(10 * crash + i), {}, at, at + 500ms);
                m_crashes.suspect(paused, std::vector<std::string> {"other"}, at, at + 500ms);
                m_crashes.recordReport(paused.id, 1, at + 1300ms);
            }
            m_crashes.suspect(server(10 * crash), m_parts, at, at + 500ms);
            m_crashes.recordReport("s" + std::to_string(10 * crash), 2, at + 1900ms);
        }
        CPPUNIT_ASSERT(!isAdmitted());
    }

    // Guards against ending work at a sound server that was silent during both probes, and against
    // prompts that stay accused of its crash.
    void signOfLifeAfterSilenceRefutesTheCrash()
    {
        suspectTwo();
        m_crashes.recordProbed(server(0), m_now + 3s);
        m_crashes.recordProbed(server(1), m_now + 3s);
        CPPUNIT_ASSERT(m_crashes.hasCrashed(server(0)));
        m_crashes.recordBytes(server(0));
        m_crashes.recordReport("s1", 1, m_now + 4s);
        CPPUNIT_ASSERT(!m_crashes.hasCrashed(server(0)));
        CPPUNIT_ASSERT(!m_crashes.hasCrashed(server(1)));
        CPPUNIT_ASSERT(isAdmitted());
        const auto report = m_quarantine.takeDueReport(m_now + 5s);
        CPPUNIT_ASSERT(!report || report->isEmpty());
    }

    // Guards against one wrong report that proves a crash, or an answer that counts as silence.
    void unconfirmedStartIsAskedAgain()
    {
        suspectTwo();
        ServerProbeResult report;
        report.serverId = "s0";
        report.startedAtMs = 2;
        const TimePoint later = m_now + 3s;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_crashes.takeDueProbes(m_servers, later).size());
        m_crashes.recordProbed(server(0), std::vector {report}, m_servers, later);
        CPPUNIT_ASSERT(!m_crashes.hasCrashed(server(0)));
        const TimePoint next = later + SuspectedCrashes::probeInterval;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_crashes.takeDueProbes(m_servers, next).size());
        m_crashes.recordProbed(server(0), std::vector {report}, m_servers, next + 250ms);
        CPPUNIT_ASSERT(m_crashes.hasCrashed(server(0)));
    }

    // Guards against prompts accused of planned stops of servers that paused before.
    void endOfALeavingServerIsNoCrash()
    {
        suspectTwo();
        for (const int number : {0, 1}) {
            BackendInfo leaving = server(number);
            leaving.isDraining = true;
            m_servers.put(leaving, m_now + 1300ms);
        }
        m_crashes.update(m_servers, m_now + 1300ms);
        m_servers.remove("s0", m_now + 1600ms);
        m_servers.put(server(1, 2), m_now + 1600ms);
        m_crashes.update(m_servers, m_now + 1600ms);
        CPPUNIT_ASSERT(m_evidence.empty());
        CPPUNIT_ASSERT(isAdmitted());
    }

    // Guards against a sound request that is refused because the zones of its two servers failed,
    // of which this process saw nothing else (inc8).
    void crashesOfWholeZonesAccuseNobody()
    {
        crashTwo(false);
        CPPUNIT_ASSERT(isAdmitted());
        CPPUNIT_ASSERT(m_verdicts == std::vector(2, CrashVerdict::Kind::Common));
        CPPUNIT_ASSERT(m_checkedCrashes.hasCrashed(server(0)));
    }

    void crashesInSoundZonesAccuse()
    {
        crashTwo(true);
        CPPUNIT_ASSERT(m_verdicts == std::vector(2, CrashVerdict::Kind::Alone));
        assertCrashes(CrashEvidence::Reset);
    }

    // The proof comes when the zone works again.
    void zoneIsAskedWhileItIsSilent()
    {
        useChecks();
        for (const int number : {0, 1}) {
            const TimePoint at = m_now + number * 1s;
            m_checkedCrashes.suspect(server(number), m_parts, at, at + 500ms);
            answerAll(allServers(), at + 750ms);
            m_checkedCrashes.recordReport(server(number).id, 2, at + 1400ms);
        }
        CPPUNIT_ASSERT(isAdmitted());
        CPPUNIT_ASSERT(m_verdicts == std::vector(2, CrashVerdict::Kind::Common));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_questions.size());
    }

    // A server at its limit of connections resets some and goes on. Guards against prompts that are
    // accused of that.
    void resetByALivingServerIsNoCrash()
    {
        useChecks();
        for (const int number : {0, 1}) {
            const TimePoint at = m_now + number * 1s;
            m_checkedCrashes.recordReset(server(number), m_parts, false, at);
            CPPUNIT_ASSERT(m_checkedCrashes.hasCrashed(server(number)));
            answerAll({}, at + 50ms);
            CPPUNIT_ASSERT(!m_checkedCrashes.hasCrashed(server(number)));
        }
        assertCleared("report");
    }

    // Guards against a deadly call that is never found, because a sound request beside it is
    // suspected sooner and the crashes of its silent servers are proven before the call is overdue.
    void requestThatIsOverdueAfterTheProofCounts()
    {
        const std::vector<std::string> sound = {"sound"};
        for (int i = 0; i < 4; ++i) {
            const TimePoint at = m_now + i * 5s;
            m_crashes.suspect(server(i), sound, at, at + 500ms);
            m_crashes.recordProbed(server(i), at + 2s);
            m_crashes.suspect(server(i), m_parts, at, at + 2s);
        }
        const TimePoint later = m_now + 18s;
        CPPUNIT_ASSERT_MESSAGE("the deadly one",
                               !m_quarantine.quarantinedSuspect(m_parts, later).empty());
    }

    // As above, with another sound request at each server, so that one request is at all crashes.
    void requestThatIsOverdueAfterOthersShowedTheCrashCounts()
    {
        for (int i = 0; i < 2; ++i) {
            const std::vector<std::string> sound = {"sound" + std::to_string(i)};
            const TimePoint at = m_now + i * 5s;
            m_crashes.suspect(server(i), sound, at, at + 500ms);
            m_crashes.recordProbed(server(i), at + 2s);
            m_crashes.suspect(server(i), m_parts, at, at + 2s);
        }
        assertCrashes(CrashEvidence::Silent);
        CPPUNIT_ASSERT(!m_quarantine.quarantinedSuspect(m_parts, m_now + 8s).empty());
    }

    // Guards against sound requests that are accused because they went to servers that were down.
    void requestSentToACrashedServerIsNotAccused()
    {
        const std::vector<std::string> sound = {"sound"};
        for (int i = 0; i < 4; ++i) {
            const TimePoint at = m_now + i * 5s;
            m_crashes.suspect(server(i), m_parts, at, at + 500ms);
            m_crashes.recordProbed(server(i), at + 1s);
            m_crashes.recordProbed(server(i), at + 2s);
            m_crashes.suspect(server(i), sound, at + 4s, at + 4s, at + 1500ms);
        }
        CPPUNIT_ASSERT(m_quarantine.quarantinedSuspect(sound, m_now + 19s).empty());
        CPPUNIT_ASSERT(!m_quarantine.quarantinedSuspect(m_parts, m_now + 19s).empty());
    }

    // Guards against a slow sound call that is accused because the entries of its servers were
    // removed during a pause, although they have answered since.
    void overdueRequestAtALivingServerIsNotAccused()
    {
        for (int i = 0; i < 4; ++i) {
            const std::vector<std::string> other = {"other" + std::to_string(i)};
            const TimePoint at = m_now + i * 5s;
            m_crashes.suspect(server(i), other, at, at + 500ms);
            m_servers.remove(server(i).id, at + 1s);
            m_crashes.update(m_servers, at + 1s);
            m_servers.put(server(i), at + 2s);
            m_crashes.recordReport(server(i).id, 1, at + 2s);
            m_crashes.suspect(server(i), m_parts, at, at + 3s, at);
        }
        CPPUNIT_ASSERT(m_quarantine.quarantinedSuspect(m_parts, m_now + 19s).empty());
    }

private:
    struct Question
    {
        std::uint64_t number;
        std::vector<BackendState> servers;
    };

    SuspectedCrashes::Hooks hooks()
    {
        return {[this](const BackendInfo &, CrashEvidence found, const CrashVerdict &verdict) {
                    m_evidence.push_back(found);
                    m_verdicts.push_back(verdict.kind);
                },
                [this](const BackendInfo &, std::string_view sign) { m_signs.emplace_back(sign); }};
    }

    void useChecks()
    {
        m_checks.setHooks({[this](std::uint64_t number, std::vector<BackendState> servers) {
                               m_questions.push_back({number, std::move(servers)});
                           },
                           nullptr});
        m_checkedCrashes.setHooks(hooks());
    }

    static std::set<std::string> allServers()
    {
        std::set<std::string> all;
        for (int i = 0; i < 100; ++i)
            all.insert(server(i).id);
        return all;
    }

    // All that were asked answer, but for \a down.
    void answerAll(const std::set<std::string> &down, TimePoint now)
    {
        const Question asked = m_questions.back();
        std::vector<ServerProbeResult> reports;
        for (const BackendState &one : asked.servers) {
            ServerProbeResult report;
            report.serverId = one.info.id;
            report.startedAtMs = one.info.startedAtMs;
            if (!down.contains(one.info.id))
                reports.push_back(report);
        }
        m_checks.recordAnswers(asked.number, asked.servers, reports, now);
    }

    // A request loses two servers, one after the other.
    void crashTwo(bool areZonesSound)
    {
        useChecks();
        for (const int number : {0, 1}) {
            const TimePoint at = m_now + number * 1s;
            m_checkedCrashes.recordReset(server(number), m_parts, false, at);
            answerAll(areZonesSound ? std::set<std::string> {"s0", "s1"} : allServers(), at + 50ms);
        }
    }

    static BackendInfo server(int number, std::int64_t startedAtMs = 1)
    {
        BackendInfo info;
        info.id = "s" + std::to_string(number);
        info.service = "engine";
        info.address = "10.0.0.1:" + std::to_string(8000 + number);
        info.startedAtMs = startedAtMs;
        return info;
    }

    static std::string name(int number) { return SuspectedCrashes::incarnationOf(server(number)); }

    // Two moments at two servers.
    void suspectTwo()
    {
        m_crashes.suspect(server(0), m_parts, m_now, m_now + 500ms);
        m_crashes.suspect(server(1), m_parts, m_now + 1s, m_now + 1500ms);
    }

    bool isAdmitted() const { return m_quarantine.quarantinedSuspect(m_parts, m_now + 5s).empty(); }

    void assertCrashes(CrashEvidence evidence) const
    {
        CPPUNIT_ASSERT(m_evidence == std::vector(2, evidence));
        CPPUNIT_ASSERT(!isAdmitted());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_crashes.size());
    }

    void assertCleared(const std::string &sign) const
    {
        CPPUNIT_ASSERT(m_signs == std::vector(2, sign));
        CPPUNIT_ASSERT(m_evidence.empty());
        CPPUNIT_ASSERT(isAdmitted());
    }

    const TimePoint m_now {1h};
    const std::vector<std::string> m_parts = {"shared", "deadly"};
    BackendTable m_servers;
    RequestQuarantine m_quarantine;
    SuspectedCrashes m_crashes {m_quarantine};
    RandomSource m_random {1};
    CrashChecks m_checks {m_servers, m_random};
    SuspectedCrashes m_checkedCrashes {m_quarantine, &m_checks};
    std::vector<Question> m_questions;
    std::vector<CrashVerdict::Kind> m_verdicts;
    std::vector<CrashEvidence> m_evidence;
    std::vector<std::string> m_signs;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectedCrashesTest);
