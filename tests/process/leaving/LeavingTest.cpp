#include "Crowd.h"
#include "OperatorCall.h"
#include "Proof.h"
#include "SystemFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::harness;

// Invariants 6 and 7: a leaving server receives no new work, and a graceful shutdown interrupts no
// request.
class LeavingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingTest);
    CPPUNIT_TEST(drainingServerGetsNoNewWork);
    CPPUNIT_TEST(operatorDrainsAndReleases);
    CPPUNIT_TEST(changesCutNoWork);
    CPPUNIT_TEST(sidecarTerminatedUnderLoad);
    CPPUNIT_TEST(entryTerminatedUnderLoad);
    CPPUNIT_TEST(entryHandsOverLongStreams);
    CPPUNIT_TEST(rollingRestartUnderLoad);
    CPPUNIT_TEST_SUITE_END();

public:
    // The VM list is out of date, since the platform is down: only the server's own report tells.
    void drainingServerGetsNoNewWork()
    {
        repeat("sidecar drains while the platform is down", [](Proof &proof) {
            SystemFixture system(options());
            Crowd before(system, callers, "before", tokens);
            before.waitForTokens(callers * 10);
            system.platformFault({{"down", "close"}});
            ServerVm &leaving = system.engine(0);
            const auto drained = leaving.admin().send({"POST", "/drain", {}, {}});
            CPPUNIT_ASSERT(drained && drained.value().status == 202);
            const int started = startedAt(leaving);
            CPPUNIT_ASSERT_MESSAGE("the leaving server has no work that could be cut", started > 0);
            Crowd after(system, callers, "after", tokens);
            expectUncut(proof, before);
            expectUncut(proof, after);
            if (startedAt(leaving) != started)
                proof.wrong("the leaving server got new work");
        });
    }

    // Guards against a drain that cuts work, is not in force when the client returns, or cannot be
    // taken back.
    void operatorDrainsAndReleases()
    {
        repeat("operator drains a server by a resource and takes it back", [](Proof &proof) {
            SystemFixture system(options());
            Crowd before(system, callers, "before", tokens);
            before.waitForTokens(callers * 10);
            ServerVm &held = system.engine(0);
            const OperatorCall operators(system, 0);
            CPPUNIT_ASSERT_EQUAL(0, operators.control({"drain", held.name, "--wait"}).exitCode);
            const std::string status = operators.control({"status"}).output;
            if (status.find(held.name) == std::string::npos
                || status.find("leaving") == std::string::npos)
                proof.wrong("status does not show the drained server: " + status);
            const int started = startedAt(held);
            Crowd after(system, callers, "after", tokens);
            expectUncut(proof, before);
            expectUncut(proof, after);
            if (startedAt(held) != started)
                proof.wrong("the drained server got new work");
            CPPUNIT_ASSERT_EQUAL(
                0, operators.control({"drain", held.name, "--undo", "--wait"}).exitCode);
            Crowd again(system, callers * 4, "again", tokens);
            expectUncut(proof, again);
            if (startedAt(held) == started)
                proof.wrong("the released server got no work");
        });
    }

    // Invariant 9. Guards against a change that reaches into generations that were admitted before.
    void changesCutNoWork()
    {
        repeat(
            "account and service deleted, server delisted, with work in flight", [](Proof &proof) {
                SystemFixture system(options());
                Crowd crowd(system, callers, "running", tokens);
                crowd.waitForTokens(callers * 5);
                const OperatorCall operators(system, 0);
                for (const char *account : {"electricians", "contractors"})
                    CPPUNIT_ASSERT_EQUAL(
                        0,
                        operators.control({"delete", "ClientAccount", account, "--wait"}).exitCode);
                CPPUNIT_ASSERT_EQUAL(
                    0,
                    operators.control({"delete", "Service", "lector-esquemas", "--wait"}).exitCode);
                system.engine(0).state = "leaving";
                system.publishVms();
                expectUncut(proof, crowd);
                expectGenerations(proof, system, callers);
            });
    }

    void sidecarTerminatedUnderLoad()
    {
        repeat("SIGTERM of a sidecar under load", [](Proof &proof) {
            SystemFixture system(options());
            Crowd crowd(system, callers, "load", tokens);
            crowd.waitForTokens(callers);
            system.engine(0).sidecar->terminate();
            Crowd after(system, callers, "after", tokens);
            expectUncut(proof, crowd);
            expectUncut(proof, after);
            expectGenerations(proof, system, callers * 2);
            expectCleanExit(proof, *system.engine(0).sidecar);
        });
    }

    void entryTerminatedUnderLoad()
    {
        repeat("SIGTERM of an entry under load", [](Proof &proof) {
            SystemFixture system(options());
            Crowd crowd(system, callers, "load", tokens);
            crowd.waitForTokens(callers);
            system.entry(0).process->terminate();
            Crowd after(system, callers, "after", tokens);
            expectUncut(proof, crowd);
            expectUncut(proof, after);
            expectCleanExit(proof, *system.entry(0).process);
        });
    }

    // Guards against a hand-over that loses tokens, or that computes the answer again.
    void entryHandsOverLongStreams()
    {
        repeat("SIGTERM of an entry whose streams outlast the drain limit", [](Proof &proof) {
            SystemOptions settings = options();
            settings.entrySettings = "times:\n  drainDelayMs: 100\n  drainLimitMs: 100\n";
            SystemFixture system(settings);
            Crowd crowd(system, callers, "load", tokens);
            crowd.waitForTokens(callers);
            system.entry(0).process->terminate();
            expectEach(proof, crowd,
                       [](const Answer &answer) { return answer.faultUnlessWhole(tokens); });
            expectCleanExit(proof, *system.entry(0).process);
            expectGenerations(proof, system, callers);
        });
    }

    void rollingRestartUnderLoad()
    {
        repeat("each sidecar and entry restarted in turn under load", [](Proof &proof) {
            SystemFixture system(options());
            for (std::size_t index = 0; index < system.engineCount(); ++index)
                restart(proof, system, *system.engine(index).sidecar,
                        [&] { system.startSidecar(system.engine(index)); });
            for (std::size_t index = 0; index < system.entryCount(); ++index)
                restart(proof, system, *system.entry(index).process,
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

    static void repeat(const std::string &faults, const std::function<void(Proof &)> &test)
    {
        Proof proof("leaving", faults);
        for (std::size_t count = 0; count < Proof::rounds(); ++count) {
            proof.round();
            test(proof);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), proof.wrongCount());
    }

    static void restart(Proof &proof, SystemFixture &system, ChildProcess &process,
                        const std::function<void()> &start)
    {
        Crowd crowd(system, callers, "load", tokens);
        crowd.waitForTokens(callers);
        process.terminate();
        Crowd after(system, callers, "after", tokens);
        expectUncut(proof, crowd);
        expectUncut(proof, after);
        expectCleanExit(proof, process);
        start();
        system.waitReady();
    }

    static void expectEach(Proof &proof, Crowd &crowd,
                           const std::function<std::optional<std::string>(const Answer &)> &faultIn)
    {
        crowd.join();
        for (std::size_t number = 0; number < crowd.size(); ++number) {
            proof.request();
            if (const auto fault = faultIn(crowd.answer(number)))
                proof.wrong(crowd.prompt(number) + ": " + *fault);
        }
    }

    static void expectUncut(Proof &proof, Crowd &crowd)
    {
        expectEach(proof, crowd,
                   [](const Answer &answer) { return answer.faultUnlessUncut(tokens); });
    }

    // Guards against an interrupted generation that the entry hides by a resume elsewhere.
    static void expectGenerations(Proof &proof, SystemFixture &system, std::size_t count)
    {
        const std::size_t started = system.generationsStarted();
        if (started != count)
            proof.wrong(std::to_string(started) + " generations for " + std::to_string(count)
                        + " answers");
    }

    static void expectCleanExit(Proof &proof, ChildProcess &process)
    {
        const auto status = process.waitForExit();
        if (status != 0)
            proof.wrong("exit status " + std::to_string(status.value_or(-1)) + " after SIGTERM");
    }

    static int startedAt(ServerVm &server)
    {
        return server.backendControl().get("/fake/stats")["generationsStarted"].get<int>();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);
