#include "CallerGroup.h"
#include "InvariantReport.h"
#include "OperatorClient.h"
#include "SystemFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::harness;

// Invariants 6 and 7: a draining server receives no new work, and a graceful shutdown interrupts no
// request.
class LeavingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingTest);
    CPPUNIT_TEST(drainingServerGetsNoNewWork);
    CPPUNIT_TEST(operatorDrainsAndUndoesDrain);
    CPPUNIT_TEST(configurationChangesInterruptNothing);
    CPPUNIT_TEST(sidecarTerminatedUnderLoad);
    CPPUNIT_TEST(entryTerminatedUnderLoad);
    CPPUNIT_TEST(entryHandsOffLongStreams);
    CPPUNIT_TEST(rollingRestartUnderLoad);
    CPPUNIT_TEST_SUITE_END();

public:
    // With the platform down the VM list is stale: entries learn of the drain from the server
    // alone.
    void drainingServerGetsNoNewWork()
    {
        runRounds("sidecar drains while the platform is down", [](InvariantReport &report) {
            SystemFixture system(options());
            CallerGroup before(system, callers, "before", tokens);
            before.waitForTokens(callers * 10);
            system.setPlatformFault({{"down", "close"}});
            ServerVm &leaving = system.engine(0);
            const auto drained = leaving.admin().send({"POST", "/drain", {}, {}});
            CPPUNIT_ASSERT(drained && drained.value().status == 202);
            const int started = startedGenerations(leaving);
            CPPUNIT_ASSERT_MESSAGE("the leaving server has no work that could be cut", started > 0);
            CallerGroup after(system, callers, "after", tokens);
            expectUninterrupted(report, before);
            expectUninterrupted(report, after);
            if (startedGenerations(leaving) != started)
                report.addViolation("the leaving server got new work");
        });
    }

    // Guards against a drain that interrupts requests, is not yet in effect when the control tool
    // returns, or cannot be undone.
    void operatorDrainsAndUndoesDrain()
    {
        runRounds(
            "operator drains a server by a resource and takes it back",
            [](InvariantReport &report) {
                SystemFixture system(options());
                CallerGroup before(system, callers, "before", tokens);
                before.waitForTokens(callers * 10);
                ServerVm &drained = system.engine(0);
                const OperatorClient operatorClient(system, 0);
                CPPUNIT_ASSERT_EQUAL(
                    0, operatorClient.runControlTool({"drain", drained.name, "--wait"}).exitCode);
                const std::string status = operatorClient.runControlTool({"status"}).output;
                if (status.find(drained.name) == std::string::npos
                    || status.find("leaving") == std::string::npos)
                    report.addViolation("status does not show the drained server: " + status);
                const int started = startedGenerations(drained);
                CallerGroup after(system, callers, "after", tokens);
                expectUninterrupted(report, before);
                expectUninterrupted(report, after);
                if (startedGenerations(drained) != started)
                    report.addViolation("the drained server got new work");
                CPPUNIT_ASSERT_EQUAL(
                    0,
                    operatorClient.runControlTool({"drain", drained.name, "--undo", "--wait"})
                        .exitCode);
                CallerGroup again(system, callers * 4, "again", tokens);
                expectUninterrupted(report, again);
                if (startedGenerations(drained) == started)
                    report.addViolation("the released server got no work");
            });
    }

    // Invariant 9. Guards against a configuration change that interrupts generations admitted
    // earlier.
    void configurationChangesInterruptNothing()
    {
        runRounds("account and service deleted, server delisted, with work in flight",
                  [](InvariantReport &report) {
                      SystemFixture system(options());
                      CallerGroup group(system, callers, "running", tokens);
                      group.waitForTokens(callers * 5);
                      const OperatorClient operatorClient(system, 0);
                      for (const char *account : {"electricians", "contractors"})
                          CPPUNIT_ASSERT_EQUAL(
                              0,
                              operatorClient
                                  .runControlTool({"delete", "ClientAccount", account, "--wait"})
                                  .exitCode);
                      CPPUNIT_ASSERT_EQUAL(
                          0,
                          operatorClient
                              .runControlTool({"delete", "Service", "lector-esquemas", "--wait"})
                              .exitCode);
                      system.engine(0).state = "leaving";
                      system.publishVms();
                      expectUninterrupted(report, group);
                      expectGenerationCount(report, system, callers);
                  });
    }

    void sidecarTerminatedUnderLoad()
    {
        runRounds("SIGTERM of a sidecar under load", [](InvariantReport &report) {
            SystemFixture system(options());
            CallerGroup group(system, callers, "load", tokens);
            group.waitForTokens(callers);
            system.engine(0).sidecar->terminate();
            CallerGroup after(system, callers, "after", tokens);
            expectUninterrupted(report, group);
            expectUninterrupted(report, after);
            expectGenerationCount(report, system, callers * 2);
            expectCleanExit(report, *system.engine(0).sidecar);
        });
    }

    void entryTerminatedUnderLoad()
    {
        runRounds("SIGTERM of an entry under load", [](InvariantReport &report) {
            SystemFixture system(options());
            CallerGroup group(system, callers, "load", tokens);
            group.waitForTokens(callers);
            system.entry(0).process->terminate();
            CallerGroup after(system, callers, "after", tokens);
            expectUninterrupted(report, group);
            expectUninterrupted(report, after);
            expectCleanExit(report, *system.entry(0).process);
        });
    }

    // Guards against a handoff to another entry that loses tokens or computes the answer again.
    void entryHandsOffLongStreams()
    {
        runRounds("SIGTERM of an entry whose streams outlast the drain limit",
                  [](InvariantReport &report) {
                      SystemOptions settings = options();
                      settings.entrySettings = "times:\n  drainDelayMs: 100\n  drainLimitMs: 100\n";
                      SystemFixture system(settings);
                      CallerGroup group(system, callers, "load", tokens);
                      group.waitForTokens(callers);
                      system.entry(0).process->terminate();
                      expectEach(report, group, [](const Answer &answer) {
                          return answer.errorUnlessComplete(tokens);
                      });
                      expectCleanExit(report, *system.entry(0).process);
                      expectGenerationCount(report, system, callers);
                  });
    }

    void rollingRestartUnderLoad()
    {
        runRounds("each sidecar and entry restarted in turn under load",
                  [](InvariantReport &report) {
                      SystemFixture system(options());
                      for (std::size_t index = 0; index < system.engineCount(); ++index)
                          restart(report, system, *system.engine(index).sidecar,
                                  [&] { system.startSidecar(system.engine(index)); });
                      for (std::size_t index = 0; index < system.entryCount(); ++index)
                          restart(report, system, *system.entry(index).process,
                                  [&] { system.startEntry(system.entry(index)); });
                  });
    }

private:
    static constexpr std::size_t callers = 12;
    static constexpr std::size_t tokens = 120;

    static SystemOptions options()
    {
        SystemOptions options;
        options.tokenMs = 8;
        options.engineFlags = {"--slots", "32"};
        options.entrySettings = "times:\n  drainDelayMs: 100\n";
        return options;
    }

    static void runRounds(const std::string &faults,
                          const std::function<void(InvariantReport &)> &test)
    {
        InvariantReport report("leaving", faults);
        for (std::size_t count = 0; count < InvariantReport::roundCount(); ++count) {
            report.addRound();
            test(report);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), report.violationCount());
    }

    static void restart(InvariantReport &report, SystemFixture &system, ChildProcess &process,
                        const std::function<void()> &start)
    {
        CallerGroup group(system, callers, "load", tokens);
        group.waitForTokens(callers);
        process.terminate();
        CallerGroup after(system, callers, "after", tokens);
        expectUninterrupted(report, group);
        expectUninterrupted(report, after);
        expectCleanExit(report, process);
        start();
        system.waitUntilReady();
    }

    static void expectEach(InvariantReport &report, CallerGroup &group,
                           const std::function<std::optional<std::string>(const Answer &)> &check)
    {
        group.join();
        for (std::size_t number = 0; number < group.size(); ++number) {
            report.addRequest();
            if (const auto error = check(group.answer(number)))
                report.addViolation(group.prompt(number) + ": " + *error);
        }
    }

    static void expectUninterrupted(InvariantReport &report, CallerGroup &group)
    {
        expectEach(report, group,
                   [](const Answer &answer) { return answer.errorUnlessUninterrupted(tokens); });
    }

    // Guards against an interrupted generation that the entry hides by resuming it elsewhere.
    static void expectGenerationCount(InvariantReport &report, SystemFixture &system,
                                      std::size_t count)
    {
        const std::size_t started = system.generationsStarted();
        if (started != count)
            report.addViolation(std::to_string(started) + " generations for "
                                + std::to_string(count) + " answers");
    }

    static void expectCleanExit(InvariantReport &report, ChildProcess &process)
    {
        const auto status = process.waitForExit();
        if (status != 0)
            report.addViolation("exit status " + std::to_string(status.value_or(-1))
                                + " after SIGTERM");
    }

    static int startedGenerations(ServerVm &server)
    {
        return server.backendControl().get("/fake/stats")["generationsStarted"].get<int>();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);
