#include "CallChaos.h"
#include "InvariantReport.h"
#include "NoticeCall.h"
#include "ServiceLog.h"
#include "SystemFixture.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>

using namespace foxtailring;
using namespace foxtailring::harness;

// Invariants 4 and 5: "not-run" is true, and a non-idempotent call runs at most once. Each test
// injects one fault and compares the responses with the service's own log.
class CallsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallsTest);
    CPPUNIT_TEST(replyLostByService);
    CPPUNIT_TEST(replyLostBeforeEntry);
    CPPUNIT_TEST(serviceConnectionReset);
    CPPUNIT_TEST(serviceRefusesConnections);
    CPPUNIT_TEST(entryKilledBeforeReply);
    CPPUNIT_TEST(sidecarPausedBeforeReply);
    CPPUNIT_TEST(vmReplacedWithEmptyMemory);
    CPPUNIT_TEST(platformDown);
    CPPUNIT_TEST(claimRepliesLost);
    CPPUNIT_TEST(keyReusedWithAnotherBody);
    CPPUNIT_TEST(replyLostWithoutKey);
    CPPUNIT_TEST(homeDrains);
    CPPUNIT_TEST(allHomesKilled);
    CPPUNIT_TEST(severalFaultsAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void replyLostByService()
    {
        run("service drops the reply after it executed", [](Round &round) {
            round.setServiceFaults({{"dropReplyNext", 1}});
            const CallAnswer first = round.send(0);
            round.setServiceFaults({{"dropReplyNext", 0}});
            round.expect(first.isUncertain(), "the lost reply is reported as unknown", first);
            for (std::size_t entry = 0; entry < 2; ++entry) {
                const CallAnswer again = round.send(entry);
                round.expect(!again.isNotRun(), "a call that ran is never reported as not run",
                             again);
            }
            round.expectExecutions(1);
        });
    }

    // The sidecar still has the response, which the entry fetches over a new connection.
    void replyLostBeforeEntry()
    {
        run("connections between entry and sidecar cut before the reply", [](Round &round) {
            auto call = round.sendAsync(0);
            round.system.setRouteFault(round.waitForBusyServer().entryRoute(), {{"cut", true}});
            const CallAnswer answer = call.get();
            round.expect(answer.isDone(), "the answer is fetched over a new connection", answer);
            round.expectExecutions(1);
        });
    }

    void serviceConnectionReset()
    {
        run("connection between sidecar and service cut before the reply", [](Round &round) {
            auto call = round.sendAsync(0);
            round.system.setRouteFault(round.waitForBusyServer().backendRoute(), {{"cut", true}});
            const CallAnswer answer = call.get();
            round.expect(answer.isUncertain(), "the outcome is unknown", answer);
            round.expect(!round.send(1).isNotRun(), "a retry is not reported as not run", answer);
            round.expectMaxExecutions(1);
        });
    }

    // The home server claims the key and sends nothing; the next home can then only report
    // "unknown".
    void serviceRefusesConnections()
    {
        run("service refuses connections, then accepts them", [](Round &round) {
            round.setBackendRouteFaults({{"refuse", true}, {"cut", true}});
            const CallAnswer refused = round.send(0);
            round.expect(!refused.isDone(), "nothing was sent", refused);
            round.expectExecutions(0);
            round.setBackendRouteFaults({{"refuse", false}});
            const CallAnswer answer = round.sendUntilDone();
            round.expect(answer.isDone(), "the call runs when the service is back", answer);
            round.expectExecutions(1);
        });
    }

    void entryKilledBeforeReply()
    {
        run("entry killed between call and reply, retry through another entry", [](Round &round) {
            auto call = round.sendAsync(0);
            round.waitForBusyServer();
            round.system.entry(0).process->kill();
            call.get();
            const CallAnswer answer = round.send(1);
            round.expect(answer.isDone(), "the retry gets the answer of the first call", answer);
            round.expectExecutions(1);
        });
    }

    void sidecarPausedBeforeReply()
    {
        run("sidecar SIGSTOP before the reply, retry elsewhere, SIGCONT", [](Round &round) {
            auto call = round.sendAsync(0);
            ServerVm &home = round.waitForBusyServer();
            home.sidecar->pause();
            const CallAnswer first = call.get();
            round.expect(!first.isNotRun(), "a call that was sent is not reported as not run",
                         first);
            round.expect(!round.send(1).isNotRun(), "nor is its retry", first);
            home.sidecar->resume();
            round.expect(!round.send(1).isNotRun(), "nor a retry after its home server continued",
                         first);
            round.expectExecutions(1);
        });
    }

    void vmReplacedWithEmptyMemory()
    {
        run("sidecar and service replaced by new ones with empty memory", [](Round &round) {
            const CallAnswer first = round.send(0);
            round.expect(first.isDone(), "the first call is answered", first);
            for (std::size_t index = 0; index < round.system.serviceCount(); ++index)
                round.log.replace(round.system.service(index));
            round.system.waitUntilReady();
            const CallAnswer again = round.send(1);
            round.expect(!again.isNotRun(), "an old key is not new at a new server", again);
            const CallAnswer kept = round.sendUntilDone();
            round.expect(kept.isDone(), "the recorded outcome is answered", kept);
            round.expectExecutions(1);
        });
    }

    // While the platform is unreachable, it is unknown whether a new key had an earlier attempt
    // (7.3).
    void platformDown()
    {
        run("platform down, then back", [](Round &round) {
            const NoticeCall earlier("earlier", "earlier");
            const CallAnswer known = earlier.send(round.system, 0);
            round.expect(known.isDone(), "the first call is answered", known);
            round.system.setPlatformFault({{"down", "close"}});
            const CallAnswer refused = round.send(0);
            round.expect(!refused.isDone(), "a new keyed call does not run", refused);
            round.expect(!refused.retryAfter.empty(), "and is told when to retry", refused);
            round.expectExecutions(0);
            const CallAnswer again = earlier.send(round.system, 1);
            round.expect(again.isDone(), "a remembered outcome is answered", again);
            round.system.setPlatformFault({{"down", false}});
            const CallAnswer answer = round.sendUntilDone();
            round.expect(answer.isDone(), "the call runs when the platform is back", answer);
            round.expectExecutions(1);
        });
    }

    void claimRepliesLost()
    {
        run("replies to claim writes lost", [](Round &round) {
            round.system.setPlatformFault({{"loseReplyNext", 2}});
            const CallAnswer first = round.send(0);
            round.system.setPlatformFault({{"loseReplyNext", 0}});
            const CallAnswer answer = first.isDone() ? first : round.sendUntilDone();
            round.expect(answer.isDone(), "a lost reply of a claim is read back", answer);
            round.expectExecutions(1);
        });
    }

    void keyReusedWithAnotherBody()
    {
        run("key used again with another body", [](Round &round) {
            const CallAnswer first = round.send(0);
            round.expect(first.isDone(), "the first call is answered", first);
            const NoticeCall other(round.name, round.name, "revision 5");
            for (std::size_t entry = 0; entry < 2; ++entry) {
                const CallAnswer refused = other.send(round.system, entry);
                round.expect(refused.isNotRun() && refused.status == 422,
                             "another body under the same key is refused", refused);
            }
            round.expectExecutions(1);
        });
    }

    void replyLostWithoutKey()
    {
        run("service drops the reply of a call without a key", [](Round &round) {
            const NoticeCall call(round.name, {});
            round.setServiceFaults({{"dropReplyNext", 1}});
            const CallAnswer answer = call.send(round.system, 0);
            round.expect(answer.isUncertain(), "the outcome is unknown", answer);
            round.expectExecutions(1);
        });
    }

    // Guards against keyed calls without a home server while a server drains.
    void homeDrains()
    {
        run("a home server drains", [](Round &round) {
            const auto drained = round.system.service(0).admin().send({"POST", "/drain", {}, {}});
            CPPUNIT_ASSERT(drained && drained.value().status == 202);
            constexpr int keys = 9; // about three belong to the draining server
            for (int number = 0; number < keys; ++number) {
                const std::string key = "leaving-" + std::to_string(number);
                const NoticeCall call(key, key);
                round.report.addRequest();
                const CallAnswer answer = call.send(round.system, 0);
                round.expect(answer.isDone(), "another home takes the call", answer);
                if (round.log.executions(call.target()) != 1)
                    round.report.addViolation(key + " did not run once");
            }
        });
    }

    // Guards against a "not-run" that the entry reports by itself although an earlier attempt ran.
    void allHomesKilled()
    {
        run("all sidecars of the service killed after the call", [](Round &round) {
            const CallAnswer first = round.send(0);
            round.expect(first.isDone(), "the first call is answered", first);
            for (std::size_t index = 0; index < round.system.serviceCount(); ++index)
                round.system.service(index).sidecar->kill();
            constexpr int retries = 20; // while the entries first suspect and then drop the servers
            for (int retry = 0; retry < retries; ++retry) {
                const CallAnswer again = round.send(retry % 2);
                round.expect(again.isUncertain(), "a call that ran is never reported as not run",
                             again);
            }
            round.expectExecutions(1);
        });
    }

    void severalFaultsAtOnce()
    {
        InvariantReport report("calls", "60 keys, 12 faults chosen by the seed, several at once");
        for (std::size_t count = 0; count < InvariantReport::roundCount(); ++count) {
            SystemFixture system(options());
            report.addRound();
            CallChaos(system, report, InvariantReport::seed() + count).run();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), report.violationCount());
    }

private:
    // One key, its calls and the service log they are compared with.
    struct Round
    {
        SystemFixture &system;
        InvariantReport &report;
        std::string name;
        ServiceLog log {system};
        NoticeCall call {name, name};
        std::atomic<bool> isOutcomeUnknown = false; ///< after the latest answer

        CallAnswer send(std::size_t entry)
        {
            report.addRequest();
            CallAnswer answer = call.send(system, entry);
            isOutcomeUnknown = answer.isUncertain();
            return answer;
        }

        std::future<CallAnswer> sendAsync(std::size_t entry)
        {
            return std::async(std::launch::async, [this, entry] { return send(entry); });
        }

        CallAnswer sendUntilDone()
        {
            CallAnswer answer;
            waitUntil([&] {
                answer = send(1);
                return answer.isDone();
            });
            return answer;
        }

        ServerVm &waitForBusyServer()
        {
            ServerVm *server = log.busyServer();
            CPPUNIT_ASSERT_MESSAGE("no server executes the call", server);
            return *server;
        }

        void setServiceFaults(const nlohmann::json &faults)
        {
            for (std::size_t index = 0; index < system.serviceCount(); ++index)
                system.service(index).backendControl().post("/fake/fault", faults);
        }

        void setBackendRouteFaults(const nlohmann::json &faults)
        {
            for (std::size_t index = 0; index < system.serviceCount(); ++index)
                system.setRouteFault(system.service(index).backendRoute(), faults);
        }

        void expect(bool holds, const std::string &rule, const CallAnswer &answer)
        {
            if (!holds)
                report.addViolation("violated: " + rule + ": " + answer.toString());
        }

        void expectExecutions(std::size_t count)
        {
            const std::size_t executed = log.executions(call.target());
            if (executed != count)
                report.addViolation(std::to_string(executed) + " executions instead of "
                                    + std::to_string(count));
        }

        void expectMaxExecutions(std::size_t count)
        {
            const std::size_t executed = log.executions(call.target());
            if (executed > count)
                report.addViolation(std::to_string(executed) + " executions");
        }
    };

    static SystemOptions options()
    {
        SystemOptions options;
        options.engines = 0;
        options.services = 3;
        // Leaves time to inject a fault between a call and its reply.
        options.serviceFlags = {"--delay_ms", "150"};
        return options;
    }

    static void run(const std::string &faults, const std::function<void(Round &)> &test)
    {
        InvariantReport report("calls", faults);
        for (std::size_t count = 0; count < InvariantReport::roundCount(); ++count) {
            SystemFixture system(options());
            Round round {system, report, "notice-" + std::to_string(count)};
            report.addRound();
            test(round);
            if (round.isOutcomeUnknown)
                report.addUnknownOutcome();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), report.violationCount());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallsTest);
