#include "foxtailring/decisions/servers/ServerTable.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace foxtailring;
using namespace std::chrono_literals;

namespace {

ListedServer listed(std::string id, bool leaving = false)
{
    return ListedServer {ServerInfo {std::move(id), "reader", "127.0.0.1:1", "r1", "z1"}, leaving};
}

LoadReport report(std::string id, std::uint64_t incarnation, std::uint64_t sequence)
{
    LoadReport made;
    made.serverId = std::move(id);
    made.service = "reader";
    made.incarnation = incarnation;
    made.sequence = sequence;
    made.capacity = 4;
    return made;
}

} // namespace

class ServerTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerTableTest);
    CPPUNIT_TEST(ownReportOverridesTheList);
    CPPUNIT_TEST(silentServerFallsBackToTheList);
    CPPUNIT_TEST(suspectedServerReturnsOnContact);
    CPPUNIT_TEST(lateReportsDoNotReplaceNewerOnes);
    CPPUNIT_TEST(newIncarnationResetsState);
    CPPUNIT_TEST(serverInContactIsNotDropped);
    CPPUNIT_TEST(ownWorkIsCounted);
    CPPUNIT_TEST(onlyServersInTheSubsetAreCandidates);
    CPPUNIT_TEST(changedAddressIsApplied);
    CPPUNIT_TEST(isThreadSafe);
    CPPUNIT_TEST_SUITE_END();

    ServerTable m_table;
    const TimePoint m_start = TimePoint {} + 1h;

    void list(std::vector<ListedServer> servers, TimePoint now)
    {
        m_table.applyVmList(servers, now);
    }
    std::size_t candidateCount(TimePoint now) { return m_table.candidates("reader", now).size(); }
    ServerStatus status(TimePoint now) { return m_table.server("a", now)->status; }

public:
    // Guards against new work for a draining server that the VM list still shows as live.
    void ownReportOverridesTheList()
    {
        list({listed("a")}, m_start);
        LoadReport leaving = report("a", 1, 1);
        leaving.leaving = true;
        CPPUNIT_ASSERT(m_table.applyReport(leaving, m_start) == ReportEffect::Applied);
        list({listed("a")}, m_start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), candidateCount(m_start + 1s));
        CPPUNIT_ASSERT(status(m_start + 1s) == ServerStatus::Leaving);
        // The reverse: a restarted server takes work while the list still shows it as leaving.
        list({listed("a", true)}, m_start + 2s);
        m_table.applyReport(report("a", 2, 1), m_start + 3s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), candidateCount(m_start + 3s));
    }

    // Guards against new work for a leaving server that can no longer report it itself.
    void silentServerFallsBackToTheList()
    {
        list({listed("a")}, m_start);
        m_table.applyReport(report("a", 1, 1), m_start);
        list({listed("a", true)}, m_start + 20s);
        CPPUNIT_ASSERT(status(m_start + 10s) == ServerStatus::Live);
        CPPUNIT_ASSERT(status(m_start + 20s) == ServerStatus::Leaving);
    }

    // Guards against new work for a silent server, and against never using it again.
    void suspectedServerReturnsOnContact()
    {
        list({listed("a")}, m_start);
        m_table.markSuspected("a", m_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), candidateCount(m_start));
        list({listed("a")}, m_start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), candidateCount(m_start + 1s));
        m_table.markReachable("a", m_start + 2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), candidateCount(m_start + 2s));
        m_table.markLost("a", m_start + 3s);
        CPPUNIT_ASSERT(status(m_start + 3s) == ServerStatus::Lost);
        m_table.applyReport(report("a", 1, 1), m_start + 4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), candidateCount(m_start + 4s));
    }

    // Guards against a delayed report that reverts "leaving" or the load.
    void lateReportsDoNotReplaceNewerOnes()
    {
        list({listed("a")}, m_start);
        LoadReport leaving = report("a", 1, 5);
        leaving.leaving = true;
        m_table.applyReport(leaving, m_start);
        CPPUNIT_ASSERT(m_table.applyReport(report("a", 1, 4), m_start) == ReportEffect::Stale);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), candidateCount(m_start));
        m_table.applyReport(report("a", 2, 1), m_start);
        leaving.sequence = 9;
        CPPUNIT_ASSERT(m_table.applyReport(leaving, m_start) == ReportEffect::Stale);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), candidateCount(m_start));
        CPPUNIT_ASSERT(m_table.applyReport(report("b", 1, 1), m_start)
                       == ReportEffect::UnknownServer);
    }

    // Guards against keeping the load, sequence number or suspicion of a process that was
    // restarted.
    void newIncarnationResetsState()
    {
        list({listed("a")}, m_start);
        LoadReport busy = report("a", 1, 50);
        busy.running = 4;
        busy.leaving = true;
        busy.prefixHashes = {7};
        m_table.applyReport(busy, m_start);
        m_table.markLost("a", m_start);
        m_table.applyReport(report("a", 2, 1), m_start + 1s);
        const ServerState state = *m_table.server("a", m_start + 2s);
        CPPUNIT_ASSERT(state.status == ServerStatus::Live);
        CPPUNIT_ASSERT_EQUAL(0U, state.running);
        CPPUNIT_ASSERT(state.prefixHashes->empty());
        CPPUNIT_ASSERT(state.reportAge == Duration(1s));
    }

    // Guards against dropping healthy servers when the platform returns an incomplete VM list.
    void serverInContactIsNotDropped()
    {
        list({listed("a"), listed("b"), listed("c")}, m_start);
        m_table.startWork("c");
        m_table.applyReport(report("a", 1, 1), m_start + 50s);
        list({}, m_start + 59s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_table.size());
        list({}, m_start + 61s);
        CPPUNIT_ASSERT(m_table.server("a", m_start + 61s));
        CPPUNIT_ASSERT(!m_table.server("b", m_start + 61s));
        CPPUNIT_ASSERT(m_table.server("c", m_start + 61s));
        m_table.endWork("c");
        list({}, m_start + 111s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_table.size());
        CPPUNIT_ASSERT(m_table.services().empty());
    }

    // Guards against counts that wrap below zero, and against counting work twice that a report
    // includes as well.
    void ownWorkIsCounted()
    {
        list({listed("a")}, m_start);
        m_table.startWork("a");
        m_table.startWork("a");
        m_table.applyReport(report("a", 1, 1), m_start);
        m_table.startWork("a");
        CPPUNIT_ASSERT_EQUAL(3U, m_table.server("a", m_start)->ownInFlight);
        CPPUNIT_ASSERT_EQUAL(2U, m_table.server("a", m_start)->ownInFlightAtReport);
        for (int i = 0; i < 5; ++i)
            m_table.endWork("a");
        CPPUNIT_ASSERT_EQUAL(0U, m_table.server("a", m_start)->ownInFlight);
        m_table.endWork("unknown");
    }

    // Guards against sending work to servers outside the entry's subset.
    void onlyServersInTheSubsetAreCandidates()
    {
        list({listed("a"), listed("b")}, m_start);
        m_table.setSubset("reader", {"b", "c"});
        list({listed("a"), listed("b"), listed("c")}, m_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), candidateCount(m_start));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_table.servers("reader", m_start).size());
        m_table.setSubset("reader", {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), candidateCount(m_start));
    }

    // Guards against keeping the old address or service of a server that the list has moved.
    void changedAddressIsApplied()
    {
        list({listed("a")}, m_start);
        ListedServer moved = listed("a");
        moved.info.address = "127.0.0.1:2";
        moved.info.service = "logbook";
        list({moved}, m_start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), candidateCount(m_start));
        const auto found = m_table.candidates("logbook", m_start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), found.size());
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:2"), found.front().info->address);
    }

    // Guards against data races between threads that read snapshots and those that apply lists and
    // reports.
    void isThreadSafe()
    {
        list({listed("a"), listed("b")}, m_start);
        std::atomic<int> broken = 0;
        const auto work = [&] {
            for (int step = 0; step < 500; ++step) {
                m_table.startWork("a");
                for (const ServerState &state : m_table.candidates("reader", m_start))
                    broken += state.info->address.empty() ? 1 : 0;
                m_table.endWork("a");
            }
        };
        std::thread first(work);
        std::thread second(work);
        for (int step = 0; step < 500; ++step) {
            list({listed("a", step % 2 == 0), listed("b")}, m_start);
            m_table.applyReport(report("b", 1, static_cast<std::uint64_t>(step) + 1), m_start);
        }
        first.join();
        second.join();
        CPPUNIT_ASSERT_EQUAL(0, broken.load());
        CPPUNIT_ASSERT_EQUAL(0U, m_table.server("a", m_start)->ownInFlight);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTableTest);
