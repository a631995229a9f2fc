#include "foxtailring/decisions/quarantine/CrashChecks.h"
#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/servers/BackendTable.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace foxtailring;
using namespace std::chrono_literals;

// Whether a server failed alone or with its zone.
class CrashChecksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashChecksTest);
    CPPUNIT_TEST(crashInASoundZoneIsAlone);
    CPPUNIT_TEST(crashOfAZoneIsCommon);
    CPPUNIT_TEST(zoneOfWhichSomeAreDownIsSound);
    CPPUNIT_TEST(unknownStartOfAPeerProvesNothing);
    CPPUNIT_TEST(serversThatRestartedBeforeAreAsked);
    CPPUNIT_TEST(fewPeersProveNothing);
    CPPUNIT_TEST(serversThatJustFailedAreNotAsked);
    CPPUNIT_TEST(oneMomentOfAZoneIsAskedOnce);
    CPPUNIT_TEST(otherZonesAndLaterMomentsAreAskedAnew);
    CPPUNIT_TEST(serverThatAnswersInTheSameStartIsAlive);
    CPPUNIT_TEST(serverThatAnswersInAnotherStartIsNotAlive);
    CPPUNIT_TEST(checkThatCannotBeSentIsDecidedAtOnce);
    CPPUNIT_TEST(checksAreBounded);
    CPPUNIT_TEST_SUITE_END();

    using Kind = CrashVerdict::Kind;

    struct Question
    {
        std::uint64_t number;
        std::vector<BackendState> servers;
    };

public:
    void setUp() override
    {
        for (const std::string zone : {"a", "b"}) {
            for (int number = 0; number < 8; ++number)
                m_servers.put(server(zone, number), m_now);
        }
        m_checks.setHooks({[this](std::uint64_t number, std::vector<BackendState> servers) {
                               m_questions.push_back({number, std::move(servers)});
                           },
                           nullptr});
    }

    void crashInASoundZoneIsAlone()
    {
        check(server("a", 0));
        CPPUNIT_ASSERT(m_verdicts.empty());
        answer(0, 4);
        assertVerdicts({Kind::Alone});
    }

    // Guards against a prompt that is accused of the loss of a zone of which this process saw one
    // server fail (inc8).
    void crashOfAZoneIsCommon()
    {
        check(server("a", 0));
        answer(0, 1);
        assertVerdicts({Kind::Common});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_failedPeers);
    }

    // Guards against a deadly part that hides behind the servers that it has crashed.
    void zoneOfWhichSomeAreDownIsSound()
    {
        check(server("a", 0));
        answer(0, 2);
        assertVerdicts({Kind::Alone});
    }

    void unknownStartOfAPeerProvesNothing()
    {
        check(server("a", 0));
        answer(0, 3, 2);
        assertVerdicts({Kind::Alone});
    }

    // While the list cannot be read, servers that a wave has passed get no new work. Guards against
    // a zone of which too few can be asked at the next wave.
    void serversThatRestartedBeforeAreAsked()
    {
        for (int number = 1; number < 8; ++number) {
            const std::string id = server("a", number).id;
            m_servers.recordConnectionLost(id, m_now);
            m_servers.recordReport(id, 2, m_now);
            CPPUNIT_ASSERT(m_servers.server(id, m_now)->isReplaced);
        }
        check(server("a", 0));
        answer(0, 4, 2);
        assertVerdicts({Kind::Alone});
        check(server("a", 0), 1s);
        answer(1, 0);
        assertVerdicts({Kind::Alone, Kind::Common});
    }

    void fewPeersProveNothing()
    {
        m_servers.put(server("c", 0), m_now);
        m_servers.put(server("c", 1), m_now);
        check(server("c", 0));
        assertVerdicts({Kind::Alone});
        CPPUNIT_ASSERT(m_questions.empty());
    }

    void serversThatJustFailedAreNotAsked()
    {
        for (int number = 1; number < 5; ++number)
            m_servers.recordFailure(server("a", number).id, m_now);
        check(server("a", 0));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_questions.at(0).servers.size());
        std::set<std::string> asked;
        for (const BackendState &one : m_questions[0].servers)
            asked.insert(one.info.id);
        CPPUNIT_ASSERT(asked == (std::set<std::string> {"a5", "a6", "a7"}));
    }

    // Guards against a burst of probes when a process loses many requests with a zone.
    void oneMomentOfAZoneIsAskedOnce()
    {
        check(server("a", 0));
        check(server("a", 1), 100ms);
        answer(0, 0);
        check(server("a", 2), 200ms);
        assertVerdicts({Kind::Common, Kind::Common, Kind::Common});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_questions.size());
    }

    void otherZonesAndLaterMomentsAreAskedAnew()
    {
        check(server("a", 0));
        check(server("b", 0));
        check(server("a", 1), 400ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_questions.size());
        answer(0, 0);
        answer(1, 4);
        answer(2, 4);
        assertVerdicts({Kind::Common, Kind::Alone, Kind::Alone});
    }

    // Guards against a server that resets a connection at its limit and counts as crashed.
    void serverThatAnswersInTheSameStartIsAlive()
    {
        check(server("a", 0), 0ms, true);
        answer(0, 5);
        assertVerdicts({Kind::Alive});
    }

    void serverThatAnswersInAnotherStartIsNotAlive()
    {
        check(server("a", 0), 0ms, true);
        ServerProbeResult report;
        report.serverId = "a0";
        report.startedAtMs = 2;
        m_checks.recordAnswers(m_questions.at(0).number, m_questions[0].servers,
                               std::vector {report}, m_now);
        assertVerdicts({Kind::Common});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_failedPeers);
    }

    void checkThatCannotBeSentIsDecidedAtOnce()
    {
        check(server("a", 0));
        m_checks.recordAnswers(m_questions.at(0).number, {}, {}, m_now);
        assertVerdicts({Kind::Alone});
    }

    void checksAreBounded()
    {
        for (int number = 0; number < 100; ++number)
            check(server("a", number), number * 1s);
        CPPUNIT_ASSERT_EQUAL(CrashChecks::maxCases, m_checks.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(100) - CrashChecks::maxCases, m_verdicts.size());
    }

private:
    static BackendInfo server(const std::string &zone, int number)
    {
        BackendInfo info;
        info.id = zone + std::to_string(number);
        info.service = "engine";
        info.address = "10.0.0." + std::to_string(zone[0]) + ":" + std::to_string(8000 + number);
        info.availabilityZone = zone;
        info.startedAtMs = 1;
        return info;
    }

    void check(const BackendInfo &failed, Duration after = 0ms, bool asksItself = false)
    {
        const auto hook = [this](const CrashVerdict &verdict, TimePoint) {
            m_verdicts.push_back(verdict.kind);
            m_failedPeers = verdict.failedPeers.size();
        };
        m_checks.check(failed, m_now + after, asksItself, hook, m_now + after);
    }

    // The last \a count of the servers that were asked answer.
    void answer(std::size_t question, std::size_t count, std::int64_t startedAtMs = 1)
    {
        const Question &asked = m_questions.at(question);
        std::vector<ServerProbeResult> reports;
        for (std::size_t i = asked.servers.size() - count; i < asked.servers.size(); ++i) {
            ServerProbeResult report;
            report.serverId = asked.servers[i].info.id;
            report.startedAtMs = startedAtMs;
            reports.push_back(report);
        }
        m_checks.recordAnswers(asked.number, asked.servers, reports, m_now);
    }

    void assertVerdicts(const std::vector<Kind> &expected) const
    {
        CPPUNIT_ASSERT(m_verdicts == expected);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_checks.size());
    }

    const TimePoint m_now {1h};
    BackendTable m_servers;
    RandomSource m_random {1};
    CrashChecks m_checks {m_servers, m_random};
    std::vector<Question> m_questions;
    std::vector<Kind> m_verdicts;
    std::size_t m_failedPeers = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashChecksTest);
