#include "foxtailring/decisions/servers/BackendTable.h"

#include "foxtailring/decisions/servers/ServerStarts.h"

#include "sessions/ForwardFixture.h"

using namespace foxtailring;

class BackendTableTest : public ForwardFixture
{
    CPPUNIT_TEST_SUITE(BackendTableTest);
    CPPUNIT_TEST(drainingServerIsNoCandidate);
    CPPUNIT_TEST(removedServerIsNoCandidate);
    CPPUNIT_TEST(serversAreKeptWhileTheListIsUnavailable);
    CPPUNIT_TEST(serversStillMissingAfterAnOutageAreRemoved);
    CPPUNIT_TEST(serverThatHasGoneIsNotUsedInALaterOutage);
    CPPUNIT_TEST(restoredListBringsBackNoServerThatHasGone);
    CPPUNIT_TEST(restoredListDoesNotBringBackAnEarlierStartOfAGoneServer);
    CPPUNIT_TEST(serverThatARestoredListStillHasLaterIsUsed);
    CPPUNIT_TEST(readAfterARestoreBringsBackNoServerThatHasGone);
    CPPUNIT_TEST(serverWhoseRestoredEntryEndsStaysGone);
    CPPUNIT_TEST(restoredListDoesNotEndDraining);
    CPPUNIT_TEST(restoredListDoesNotBringBackAnEarlierStart);
    CPPUNIT_TEST(serversMissingInARestoredListAreKeptForAWhile);
    CPPUNIT_TEST(failedServerIsSuspectedTemporarily);
    CPPUNIT_TEST(oneCrashCountsOnce);
    CPPUNIT_TEST(zoneFailureMakesOtherServersDoubtful);
    CPPUNIT_TEST(restartedServerIsHealthy);
    CPPUNIT_TEST(serverWithReusedAddressIsNoCandidate);
    CPPUNIT_TEST(restartWithAnotherIdReplacesTheOldEntry);
    CPPUNIT_TEST(serverAtAReusedAddressGetsNoRequestsOfAnotherService);
    CPPUNIT_TEST(restartsAreUsedWhileTheListIsUnavailable);
    CPPUNIT_TEST(entryOfAnUnnamedServiceReplacesNoServer);
    CPPUNIT_TEST(serviceThatIsNamedLaterReplacesServers);
    CPPUNIT_TEST(falseEntryAtAnAddressIsContradictedByTheServer);
    CPPUNIT_TEST(falseReplacementEndsByItself);
    CPPUNIT_TEST(entryAtAnAddressOfOthersIsSparedRequests);
    CPPUNIT_TEST(replacementIsReportedOnce);
    CPPUNIT_TEST(spoiledStartTimeTakesNoServerAway);
    CPPUNIT_TEST(laterStartTimeIsConfirmed);
    CPPUNIT_TEST(confirmedRestartEnds);
    CPPUNIT_TEST(serverThatKeepsTellingAnotherStartIsUsed);
    CPPUNIT_TEST(serverThatSaysItLeavesIsNoCandidate);
    CPPUNIT_TEST(entryDoesNotRevokeWhatAnAnswerSaid);
    CPPUNIT_TEST(leavingServerThatIsListedAgainStillLeaves);
    CPPUNIT_TEST(listedServerStillLeavesAfterManyOthers);
    CPPUNIT_TEST(restartEndsLeaving);
    CPPUNIT_TEST(answerOfAnEarlierStartIsIgnored);
    CPPUNIT_TEST(withoutStartTimeLeavingEndsWithTheEntry);
    CPPUNIT_TEST(startTimeThatIsGivenLaterTellsRestarts);
    CPPUNIT_TEST(leavingIsReportedOnce);
    CPPUNIT_TEST(unreadableNoticeIsReportedOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { listServers(); }

    void drainingServerIsNoCandidate()
    {
        BackendInfo leaving = info("a1", "a");
        leaving.isDraining = true;
        servers.put(leaving, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now).size());
    }

    void removedServerIsNoCandidate()
    {
        servers.remove("a1", now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now).size());
        CPPUNIT_ASSERT(!servers.server("a1", now));
    }

    // Entries expire while the store is down. Guards against losing all live servers by that.
    void serversAreKeptWhileTheListIsUnavailable()
    {
        servers.onListLost(now);
        servers.remove("a1", now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), servers.candidates("engine", now).size());
        servers.onListRestored(now);
        servers.replace(std::vector<BackendInfo> {info("b1", "b")}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), servers.candidates("engine", now + Ms(1900)).size());
    }

    void serversStillMissingAfterAnOutageAreRemoved()
    {
        servers.onListLost(now);
        servers.remove("a1", now);
        servers.onListRestored(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now + Ms(2100)).size());
        servers.remove("a2", now + Ms(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), servers.candidates("engine", now + Ms(3000)).size());
    }

    // Guards against requests to a server that went away just after an outage, because the list
    // is unavailable or restored again.
    void serverThatHasGoneIsNotUsedInALaterOutage()
    {
        servers.onListLost(now);
        servers.onListRestored(now);
        servers.remove("a1", now + Ms(100));
        CPPUNIT_ASSERT(!servers.server("a1", now + Ms(2100)));
        servers.onListLost(now + Ms(2100));
        CPPUNIT_ASSERT(!servers.server("a1", now + Ms(2100)));
        servers.onListRestored(now + Ms(2200));
        servers.remove("a2", now + Ms(2300));
        CPPUNIT_ASSERT(!servers.server("a2", now + Ms(4300)));
        servers.mergeRestored(std::vector<BackendInfo> {info("a2", "a")}, now + Ms(4300));
        CPPUNIT_ASSERT(!servers.server("a2", now + Ms(4300)));
    }

    void failedServerIsSuspectedTemporarily()
    {
        servers.recordFailure("a1", now);
        CPPUNIT_ASSERT(servers.server("a1", now)->health == BackendHealth::Suspected);
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(700))->health == BackendHealth::Healthy);
        servers.recordFailure("a1", now + Ms(700));
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(1700))->health == BackendHealth::Suspected);
        servers.recordContact("a1", now + Ms(1700));
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(1700))->health == BackendHealth::Healthy);
    }

    // Guards against requests to a server that has left, because the store was restored from a
    // backup that lists it.
    void restoredListBringsBackNoServerThatHasGone()
    {
        servers.remove("a1", now);
        servers.mergeRestored(std::vector<BackendInfo> {info("a1", "a"), info("b1", "b")}, now);
        CPPUNIT_ASSERT(!servers.server("a1", now));
        servers.put(info("a1", "a"), now);
        CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
    }

    // Guards against requests to a server that restarted and left, both after the backup.
    void restoredListDoesNotBringBackAnEarlierStartOfAGoneServer()
    {
        BackendInfo restarted = info("a1", "a");
        restarted.startedAtMs = 2;
        servers.put(restarted, now);
        servers.remove("a1", now);
        servers.mergeRestored(std::vector<BackendInfo> {info("a1", "a")}, now);
        CPPUNIT_ASSERT(!servers.server("a1", now));
        restarted.startedAtMs = 3;
        servers.mergeRestored(std::vector<BackendInfo> {restarted}, now);
        CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
    }

    // Guards against losing a live server for good: it was taken for gone, and wrote its entry
    // again after the restore, but before the list was read.
    void serverThatARestoredListStillHasLaterIsUsed()
    {
        const std::vector<BackendInfo> list {info("a1", "a"), info("b1", "b")};
        servers.remove("a1", now);
        servers.mergeRestored(list, now);
        servers.expire(now + Ms(29'000));
        CPPUNIT_ASSERT(!servers.server("a1", now + Ms(29'000)));
        servers.expire(now + Ms(31'000));
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(31'000))->acceptsNewWork());
    }

    // Guards against a full read that follows the first one of a restored store.
    void readAfterARestoreBringsBackNoServerThatHasGone()
    {
        const std::vector<BackendInfo> list {info("a1", "a"), info("b1", "b")};
        servers.remove("a1", now);
        servers.mergeRestored(list, now);
        servers.replace(list, now + Ms(1000));
        CPPUNIT_ASSERT(!servers.server("a1", now + Ms(1000)));
        servers.expire(now + Ms(31'000));
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(31'000))->acceptsNewWork());
    }

    void serverWhoseRestoredEntryEndsStaysGone()
    {
        const std::vector<BackendInfo> list {info("a1", "a"), info("a2", "a")};
        servers.remove("a1", now);
        servers.remove("a2", now);
        servers.mergeRestored(list, now);
        servers.remove("a1", now + Ms(15'000));
        servers.replace({}, now + Ms(15'000));
        servers.expire(now + Ms(31'000));
        CPPUNIT_ASSERT(!servers.server("a1", now + Ms(31'000)));
        CPPUNIT_ASSERT(!servers.server("a2", now + Ms(31'000)));
    }

    void restoredListDoesNotEndDraining()
    {
        BackendInfo draining = info("a1", "a");
        draining.isDraining = true;
        servers.put(draining, now);
        servers.mergeRestored(std::vector<BackendInfo> {info("a1", "a"), info("b1", "b")}, now);
        CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
        servers.put(info("a1", "a"), now);
        CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
    }

    void restoredListDoesNotBringBackAnEarlierStart()
    {
        BackendInfo restarted = info("a1", "a");
        restarted.startedAtMs = 2;
        restarted.address = "10.0.0.9:80";
        servers.put(restarted, now);
        servers.mergeRestored(std::vector<BackendInfo> {info("a1", "a"), info("b1", "b")}, now);
        CPPUNIT_ASSERT_EQUAL(restarted.address, servers.server("a1", now)->info.address);
    }

    // Guards against dropping servers that started after the backup and have yet to write again.
    void serversMissingInARestoredListAreKeptForAWhile()
    {
        servers.mergeRestored(std::vector<BackendInfo> {info("b1", "b")}, now);
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(1900))->acceptsNewWork());
        CPPUNIT_ASSERT(!servers.server("a1", now + Ms(2100)));
    }

    // Guards against a long suspicion because one crash fails many requests.
    void oneCrashCountsOnce()
    {
        for (int request = 0; request < 10; ++request)
            servers.recordFailure("a1", now);
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(700))->health == BackendHealth::Healthy);
    }

    // Guards against spending one request on each server of a failed zone.
    void zoneFailureMakesOtherServersDoubtful()
    {
        for (const char *id : {"a3", "a4"})
            servers.put(info(id, "a"), now);
        now += Ms(100);
        servers.recordFailure("a1", now);
        CPPUNIT_ASSERT(servers.server("a3", now)->health == BackendHealth::Healthy);
        servers.recordFailure("a2", now);
        servers.recordContact("a4", now + Ms(1));
        CPPUNIT_ASSERT(servers.server("a3", now + Ms(1))->health == BackendHealth::Doubtful);
        CPPUNIT_ASSERT(servers.server("a4", now + Ms(1))->health == BackendHealth::Healthy);
        CPPUNIT_ASSERT(servers.server("b1", now + Ms(1))->health == BackendHealth::Healthy);
        CPPUNIT_ASSERT(servers.server("a3", now + Ms(2000))->health == BackendHealth::Healthy);
    }

    void restartedServerIsHealthy()
    {
        servers.recordFailure("a1", now);
        BackendInfo restarted = info("a1", "a");
        restarted.startedAtMs = 2;
        servers.put(restarted, now);
        CPPUNIT_ASSERT(servers.server("a1", now)->health == BackendHealth::Healthy);
    }

    // After a restart, the old entry expires seconds later. Guards against using it until then.
    void restartWithAnotherIdReplacesTheOldEntry()
    {
        BackendInfo first = info("a8", "a");
        first.address = "10.0.0.8:80";
        servers.put(first, now);
        BackendInfo second = first;
        second.id = "a9";
        second.startedAtMs = 2;
        servers.put(second, now);
        bool isListed = false;
        for (const BackendState &server : servers.candidates("engine", now)) {
            CPPUNIT_ASSERT(server.info.id != "a8");
            isListed = isListed || server.info.id == "a9";
        }
        CPPUNIT_ASSERT(isListed);
    }

    // Guards against model requests that a server of another service runs: 9 to 12 in each of three
    // plays. It answered with 421 and its id at the address of an engine that was gone.
    void serverAtAReusedAddressGetsNoRequestsOfAnotherService()
    {
        BackendInfo call = info("l1", "a");
        call.service = "logbook";
        servers.put(call, now);
        servers.remove("l1", now);
        servers.onListLost(now);
        servers.recordReplacement("a1", "l9", now);
        servers.recordReplacement("a2", "l1", now);
        CPPUNIT_ASSERT(!servers.server("l9", now));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), servers.candidates("engine", now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), servers.candidates("logbook", now).size());
    }

    // A server may start again at the address of another one while the store is down. Guards
    // against losing it until the store is back, although its earlier entry names its service.
    void restartsAreUsedWhileTheListIsUnavailable()
    {
        listEarlier("a9");
        servers.onListLost(now);
        servers.recordReplacement("a1", "a9", now);
        CPPUNIT_ASSERT(servers.server("a9", now).has_value());
        CPPUNIT_ASSERT_EQUAL(info("a1", "a").address, servers.server("a9", now)->info.address);
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), servers.candidates("engine", now).size());
        servers.onListRestored(now);
        CPPUNIT_ASSERT(!servers.server("a9", now + Ms(2100)));
        servers.put(info("a9", "a"), now);
        CPPUNIT_ASSERT(servers.server("a9", now + Ms(2100)).has_value());
    }

    // Guards against losing sound servers to entries of another writer: 12 of 12 streams were cut,
    // and no server was used again.
    void entryOfAnUnnamedServiceReplacesNoServer()
    {
        for (const bool isConfigLate : {false, true}) {
            servers.setNamedServices({"engine"}, now);
            if (isConfigLate)
                servers.setNamedServices({"engine", "no-such-service"}, now);
            listOther("a1", "no-such-service");
            servers.setNamedServices({"engine"}, now);
            CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
            CPPUNIT_ASSERT_EQUAL(std::size_t(6), servers.candidates("engine", now).size());
            servers.remove("odd", now);
        }
    }

    // Guards against requests to a server whose address a new service has, because its entry came
    // before the configuration.
    void serviceThatIsNamedLaterReplacesServers()
    {
        servers.setNamedServices({"engine"}, now);
        listOther("a1", "logbook");
        CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
        servers.setNamedServices({"engine", "logbook"}, now);
        CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
    }

    // Guards against losing a server for good because another one's entry has its address.
    void falseEntryAtAnAddressIsContradictedByTheServer()
    {
        const BackendInfo sound = info("a1", "a");
        for (const std::string how : {"entry", "report", "signature", "entry gone"}) {
            listOther("a1", "engine");
            CPPUNIT_ASSERT_MESSAGE(how, !servers.server("a1", now)->acceptsNewWork());
            servers.replace(listed(), now);
            CPPUNIT_ASSERT_MESSAGE(how, !servers.server("a1", now)->acceptsNewWork());
            if (how == "entry")
                servers.put(sound, now);
            else if (how == "report")
                servers.recordReport("a1", sound.startedAtMs, now);
            else if (how == "signature")
                servers.confirmIdentity(sound, now);
            else
                servers.remove("odd", now);
            CPPUNIT_ASSERT_MESSAGE(how, servers.server("a1", now)->acceptsNewWork());
            servers.remove("odd", now);
        }
    }

    // While the store is down, a server that gets no requests has no way to show that it lives.
    // Guards against losing it until the store is back.
    void falseReplacementEndsByItself()
    {
        listOther("a1", "engine");
        servers.onListLost(now);
        servers.recordReplacement("a2", {}, now);
        CPPUNIT_ASSERT(!servers.server("a2", now + Ms(1900))->acceptsNewWork());
        CPPUNIT_ASSERT(servers.server("a2", now + Ms(2000))->acceptsNewWork());
        CPPUNIT_ASSERT(!servers.server("a1", now + Ms(9900))->acceptsNewWork());
        CPPUNIT_ASSERT(servers.server("a1", now + Ms(10'000))->acceptsNewWork());
        for (int i = 0; i < 20; ++i) {
            servers.recordReplacement("a2", {}, now += Ms(20'000));
            CPPUNIT_ASSERT(!servers.server("a2", now)->acceptsNewWork());
        }
        CPPUNIT_ASSERT(servers.server("a2", now + Ms(16'000))->acceptsNewWork());
    }

    // Guards against a request at each heartbeat to an address that belongs to another server.
    void entryAtAnAddressOfOthersIsSparedRequests()
    {
        int requests = 0;
        for (int i = 0; i < 60; ++i) {
            servers.put(info("a1", "a"), now += Ms(1000));
            if (!servers.server("a1", now)->acceptsNewWork())
                continue;
            servers.recordReplacement("a1", "b9", now);
            ++requests;
        }
        CPPUNIT_ASSERT(requests <= 8);
        servers.confirmIdentity(info("a1", "a"), now);
        servers.recordReplacement("a1", "b9", now);
        servers.put(info("a1", "a"), now);
        CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
    }

    // Guards against a log line for each request to a server that has gone.
    void replacementIsReportedOnce()
    {
        std::vector<std::string> reports;
        BackendTable::Hooks hooks;
        hooks.onReplaced = [&reports](const BackendInfo &one) { reports.push_back(one.id); };
        hooks.onReplacementEnded = [&reports](const BackendInfo &one) {
            reports.push_back(one.id + " ended");
        };
        servers.setHooks(std::move(hooks));
        listOther("a1", "engine");
        for (int i = 0; i < 3; ++i)
            servers.recordReplacement("a1", {}, now);
        servers.expire(now + Ms(9000));
        servers.expire(now + Ms(10'000));
        servers.expire(now + Ms(11'000));
        CPPUNIT_ASSERT((std::vector<std::string> {"a1", "a1 ended"} == reports));
    }

    // Guards against losing a server for good because a report had one wrong digit.
    void spoiledStartTimeTakesNoServerAway()
    {
        for (const std::int64_t startedAtMs : {9, 8, 7}) {
            CPPUNIT_ASSERT(servers.recordReport("a1", startedAtMs, now)
                           == ReportedStart::Unconfirmed);
            CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
        }
        CPPUNIT_ASSERT(servers.recordReport("a1", 1, now) == ReportedStart::Accepted);
        servers.recordConnectionLost("a2", now);
        CPPUNIT_ASSERT(servers.recordReport("a1", 7, now) == ReportedStart::Unconfirmed);
        now += Ms(6000);
        CPPUNIT_ASSERT(servers.recordReport("a1", 7, now) == ReportedStart::Unconfirmed);
        CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
    }

    // Guards against relying on runs and copies that a restart has ended.
    void laterStartTimeIsConfirmed()
    {
        for (const std::string how : {"report", "loss before", "loss after", "other entry"}) {
            servers.put(info("a1", "a"), now += Ms(10'000));
            servers.recordReport("a1", 1, now);
            if (how == "loss before")
                servers.recordConnectionLost("a1", now);
            if (how == "other entry")
                listOther("a1", "engine");
            servers.recordReport("a1", 9, now);
            if (how == "loss after")
                servers.recordConnectionLost("a1", now);
            if (how == "report")
                servers.recordReport("a1", 9, now + Ms(1));
            const auto server = servers.server("a1", now + Ms(1));
            CPPUNIT_ASSERT_MESSAGE(how, server->reportedStart == ReportedStart::Restarted);
            CPPUNIT_ASSERT_MESSAGE(how, !server->acceptsNewWork());
        }
    }

    // Guards against losing a server until its entry is written again, which may be after an outage
    // of the store, or never if the start time was wrong.
    void confirmedRestartEnds()
    {
        for (const std::string how : {"time", "report", "entry", "later entry"}) {
            servers.put(info("a1", "a"), now += Ms(10'000));
            servers.recordReport("a1", 1, now);
            servers.recordReport("a1", 9, now);
            servers.recordReport("a1", 9, now);
            CPPUNIT_ASSERT_MESSAGE(how, !servers.server("a1", now)->acceptsNewWork());
            BackendInfo entry = info("a1", "a");
            if (how == "time")
                now += Ms(3000);
            else if (how == "report")
                servers.recordReport("a1", 1, now);
            entry.startedAtMs = how == "later entry" ? 9 : 1;
            if (how.ends_with("entry"))
                servers.put(entry, now);
            CPPUNIT_ASSERT_MESSAGE(how, servers.server("a1", now)->acceptsNewWork());
        }
    }

    // Guards against a server that is suspended with every other report.
    void serverThatKeepsTellingAnotherStartIsUsed()
    {
        std::size_t suspensions = 0;
        for (int i = 0; i < 100; ++i) {
            now += Ms(500);
            if (i % 3 == 0)
                servers.put(info("a1", "a"), now);
            servers.recordReport("a1", 9, now);
            if (!servers.server("a1", now)->acceptsNewWork())
                ++suspensions;
        }
        CPPUNIT_ASSERT(suspensions <= 6);
    }

    void serverWithReusedAddressIsNoCandidate()
    {
        servers.recordReplacement("a1", "a9", now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now).size());
    }

    // Guards against 352 requests at a server later than 3 s after its first answer had said that
    // it leaves.
    void serverThatSaysItLeavesIsNoCandidate()
    {
        sayLeaving("a1");
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidates("engine", now).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), servers.candidateIds("engine", now).size());
        CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
        CPPUNIT_ASSERT(servers.server("a2", now)->acceptsNewWork());
    }

    // A heartbeat writes the entry again, and a drain that is shown there may be undone. Guards
    // against taking that for newer than the answer.
    void entryDoesNotRevokeWhatAnAnswerSaid()
    {
        sayLeaving("a1");
        BackendInfo entry = info("a1", "a");
        for (const bool isDraining : {false, true, false}) {
            entry.isDraining = isDraining;
            servers.put(entry, now);
            CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
        }
        std::vector<BackendInfo> list {entry, info("b1", "b")};
        servers.replace(list, now);
        CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
        entry = info("b1", "b");
        entry.isDraining = true;
        servers.put(entry, now);
        CPPUNIT_ASSERT(!servers.server("b1", now)->acceptsNewWork());
        entry.isDraining = false;
        servers.put(entry, now);
        CPPUNIT_ASSERT(servers.server("b1", now)->acceptsNewWork());
    }

    // Entries lapse while the store is down, and while a server is too busy to renew its own.
    // Guards against taking a server that is back in the list for one that has restarted.
    void leavingServerThatIsListedAgainStillLeaves()
    {
        sayLeaving("a1");
        servers.remove("a1", now);
        CPPUNIT_ASSERT(!servers.server("a1", now));
        servers.put(info("a1", "a"), now);
        CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
        servers.onListLost(now);
        servers.remove("a1", now);
        CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
        servers.onListRestored(now);
        now += Ms(2100);
        servers.replace(std::vector<BackendInfo> {info("b1", "b")}, now);
        CPPUNIT_ASSERT(!servers.server("a1", now));
        servers.put(info("a1", "a"), now);
        CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
    }

    // Guards against a heartbeat that ends the notice of a server that is no longer remembered.
    void listedServerStillLeavesAfterManyOthers()
    {
        sayLeaving("a1");
        for (std::size_t i = 0; i < ServerStarts::maxSize; ++i)
            servers.recordNotice(info("gone" + std::to_string(i), "a"), LeavingNotice::Leaving);
        CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
        servers.put(info("a1", "a"), now);
        CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
    }

    // Guards against losing a server for good because an earlier start of it left.
    void restartEndsLeaving()
    {
        sayLeaving("a1");
        BackendInfo restarted = info("a1", "a");
        restarted.startedAtMs = 2;
        servers.put(restarted, now);
        CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
        sayLeaving("a1");
        BackendInfo other = restarted;
        other.id = "a9";
        other.startedAtMs = 3;
        servers.put(other, now);
        CPPUNIT_ASSERT(servers.server("a9", now)->acceptsNewWork());
    }

    // Guards against losing a restarted server to the last answers of its earlier start.
    void answerOfAnEarlierStartIsIgnored()
    {
        BackendInfo restarted = info("a1", "a");
        restarted.startedAtMs = 2;
        servers.put(restarted, now);
        servers.recordNotice(info("a1", "a"), LeavingNotice::Leaving);
        CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
    }

    // Guards against losing a server for good whose restarts cannot be seen.
    void withoutStartTimeLeavingEndsWithTheEntry()
    {
        BackendInfo entry = info("a1", "a");
        entry.startedAtMs = 0;
        servers.put(entry, now);
        sayLeaving("a1");
        servers.put(entry, now);
        CPPUNIT_ASSERT(!servers.server("a1", now)->acceptsNewWork());
        servers.remove("a1", now);
        servers.recordNotice(entry, LeavingNotice::Leaving);
        servers.put(entry, now);
        CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
    }

    // While the store is down, a server at another one's address is used without its start time.
    // Guards against forgetting that it leaves when it is listed, and against losing its next
    // start.
    void startTimeThatIsGivenLaterTellsRestarts()
    {
        listEarlier("a9");
        servers.onListLost(now);
        servers.recordReplacement("a1", "a9", now);
        sayLeaving("a9");
        BackendInfo entry = info("a9", "a");
        entry.address = servers.server("a9", now)->info.address;
        entry.startedAtMs = 5;
        servers.put(entry, now);
        CPPUNIT_ASSERT(!servers.server("a9", now)->acceptsNewWork());
        entry.startedAtMs = 6;
        servers.put(entry, now);
        CPPUNIT_ASSERT(servers.server("a9", now)->acceptsNewWork());
    }

    // Guards against a log line for each answer, and against a gauge that outlives its server.
    void leavingIsReportedOnce()
    {
        std::vector<std::string> reports;
        reportLeavingTo(reports);
        sayLeaving("a1");
        sayLeaving("a1");
        servers.put(info("a1", "a"), now);
        BackendInfo entry = info("a2", "a");
        entry.isDraining = true;
        servers.put(entry, now);
        sayLeaving("a2");
        entry.isDraining = false;
        servers.put(entry, now);
        servers.remove("a1", now);
        servers.put(info("a1", "a"), now);
        entry.startedAtMs = 2;
        servers.put(entry, now);
        const std::vector<std::string> expected {"a1 answer", "a2 list", "a1 ended", "a1 answer",
                                                 "a2 ended"};
        CPPUNIT_ASSERT(expected == reports);
    }

    // Guards against a log line for each answer of a faulty server, and against losing the server.
    void unreadableNoticeIsReportedOnce()
    {
        std::vector<std::string> reports;
        reportLeavingTo(reports);
        for (int i = 0; i < 3; ++i)
            servers.recordNotice(info("a1", "a"), LeavingNotice::Unreadable);
        servers.recordNotice(info("a2", "a"), LeavingNotice::None);
        CPPUNIT_ASSERT(servers.server("a1", now)->acceptsNewWork());
        CPPUNIT_ASSERT(std::vector<std::string> {"a1 unreadable"} == reports);
    }

private:
    /// \brief An entry of a later server has the address of \a id.
    void listOther(const std::string &id, const std::string &service)
    {
        servers.put(other(id, service), now);
    }

    static BackendInfo other(const std::string &id, const std::string &service)
    {
        BackendInfo one = info("odd", "a");
        one.address = info(id, "a").address;
        one.service = service;
        one.startedAtMs = 2;
        return one;
    }

    /// \brief The list with all entries.
    std::vector<BackendInfo> listed() const
    {
        std::vector<BackendInfo> list;
        for (const std::string id : {"a1", "a2", "b1", "b2", "c1", "c2"})
            list.push_back(servers.server(id, now)->info);
        list.push_back(other("a1", "engine"));
        return list;
    }

    /// \brief The server had an entry, which is gone.
    void listEarlier(const std::string &id)
    {
        servers.put(info(id, "a"), now);
        servers.remove(id, now);
    }

    void reportLeavingTo(std::vector<std::string> &reports)
    {
        BackendTable::Hooks hooks;
        hooks.onLeaving = [&reports](const BackendInfo &server, LeavingSource source) {
            reports.push_back(server.id + (source == LeavingSource::List ? " list" : " answer"));
        };
        hooks.onLeavingEnded = [&reports](const BackendInfo &server) {
            reports.push_back(server.id + " ended");
        };
        hooks.onNoticeUnreadable = [&reports](const BackendInfo &server) {
            reports.push_back(server.id + " unreadable");
        };
        servers.setHooks(std::move(hooks));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendTableTest);
