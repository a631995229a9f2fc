#include "Caller.h"
#include "InvariantReport.h"
#include "OperatorClient.h"
#include "RevisionMonitor.h"
#include "SseStream.h"
#include "SystemFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <future>

using namespace foxtailring;
using namespace foxtailring::harness;
using nlohmann::json;

// Invariant 8: an accepted configuration takes effect on every node within seconds and never
// reverts.
class ConfigurationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationTest);
    CPPUNIT_TEST(concurrentChangesConflict);
    CPPUNIT_TEST(lostReplyIsNotWrittenTwice);
    CPPUNIT_TEST(changeReachesEveryNodeInTime);
    CPPUNIT_TEST(waitNamesUnreachableNode);
    CPPUNIT_TEST(revokedKeyStaysRevokedAfterRestartInOutage);
    CPPUNIT_TEST(lateWatchNeverRevertsRevision);
    CPPUNIT_TEST(silentWatchIsReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a merge or a silent overwrite when two operators change a resource
    // concurrently.
    void concurrentChangesConflict()
    {
        runRounds("two operators change one resource at once", [](InvariantReport &report) {
            SystemFixture system {SystemOptions {}};
            constexpr int races = 10;
            for (int race = 0; race < races; ++race) {
                const std::string tag = OperatorClient(system, 0).entityTag(kind, name);
                const auto change = [&](std::size_t entry, const std::string &writer) {
                    return OperatorClient(system, entry).put(account(writer), tag, writer);
                };
                auto first = std::async(std::launch::async, change, 0, "ana");
                const auto second = change(1, "bea");
                checkOneWriterWins(report, system, first.get(), second);
            }
        });
    }

    void lostReplyIsNotWrittenTwice()
    {
        runRounds("reply lost after the write took effect", [](InvariantReport &report) {
            SystemFixture system {SystemOptions {}};
            const OperatorClient operatorClient(system, 0);
            const std::string tag = operatorClient.entityTag(kind, name);
            const std::int64_t before = platformRevision(system);
            system.setPlatformFault({{"loseReplyNext", 1}});
            report.addRequest();
            const auto reply = operatorClient.put(account("lost"), tag, "ana");
            if (!reply || reply.value().status != 200)
                report.addViolation("the change took effect, but was not accepted");
            if (platformRevision(system) != before + 1)
                report.addViolation("the change was written more than once");
        });
    }

    void changeReachesEveryNodeInTime()
    {
        runRounds(
            "none: ten changes, each in force on every node in time", [](InvariantReport &report) {
                SystemFixture system {SystemOptions {}};
                constexpr int changes = 10;
                for (int change = 0; change < changes; ++change) {
                    const std::int64_t revision =
                        system.platform().put(kind, name, account(std::to_string(change))["spec"]);
                    report.addRequest();
                    const auto run = waitFor(system, revision, maxPropagationSeconds);
                    if (run.exitCode != 0)
                        report.addViolation(run.output);
                }
            });
    }

    void waitNamesUnreachableNode()
    {
        runRounds("a sidecar's link frozen", [](InvariantReport &report) {
            SystemFixture system {SystemOptions {}};
            const ServerVm &unreachable = system.engine(1);
            system.setRouteFault(unreachable.entryRoute(), {{"freeze", true}});
            const std::int64_t revision =
                system.platform().put(kind, name, account("frozen")["spec"]);
            report.addRequest();
            const auto missing = waitFor(system, revision, 3);
            const bool namesIt = missing.output.find(unreachable.name) != std::string::npos;
            const bool namesOthers =
                missing.output.find(system.engine(0).name) != std::string::npos;
            if (missing.exitCode != timeoutExitCode || !namesIt || namesOthers)
                report.addViolation("exit code " + std::to_string(missing.exitCode) + ": "
                                    + missing.output);
            system.setRouteFault(unreachable.entryRoute(), {{"freeze", false}});
            const auto run = waitFor(system, revision, maxPropagationSeconds);
            if (run.exitCode != 0)
                report.addViolation("after the link came back: " + run.output);
        });
    }

    // Guards against a key revoked before the outage that works again at a node started during it.
    void revokedKeyStaysRevokedAfterRestartInOutage()
    {
        runRounds("entry restarted during a platform outage", [](InvariantReport &report) {
            SystemFixture system {SystemOptions {}};
            revokeKey(report, system);
            system.setPlatformFault({{"down", "close"}});
            EntryVm &entry = system.entry(0);
            entry.process->kill();
            system.startEntry(entry);
            for (int attempt = 0; attempt < requestsAfterRestart; ++attempt)
                expectKeyRejected(report, system, 0);
            system.setPlatformFault({{"down", false}});
            system.waitUntilReady();
            CallerOptions request;
            if (const auto error =
                    Caller(system, request).run().errorUnlessComplete(request.maxTokens))
                report.addViolation("after the outage: " + *error);
            expectKeyRejected(report, system, 0);
        });
    }

    // One entry reads the change when it starts, the other one gets it only from its delayed watch.
    // Sidecars receive the configuration of both and must not go back to the older one.
    void lateWatchNeverRevertsRevision()
    {
        runRounds("watches frozen, an entry restarted meanwhile", [](InvariantReport &report) {
            SystemFixture system {SystemOptions {}};
            RevisionMonitor monitor(system);
            system.setPlatformFault({{"freezeWatches", true}});
            system.platform().put(kind, name, account("older")["spec"]);
            const std::int64_t last = system.platform().put(kind, name, account("newer")["spec"]);
            system.entry(0).process->kill();
            monitor.reset(system.entry(0).name);
            system.startEntry(system.entry(0));
            system.waitUntilReady();
            if (!monitor.waitFor(last, system.entry(1).name))
                report.addViolation("revision " + std::to_string(last) + " is not in force");
            system.setPlatformFault({{"freezeWatches", false}});
            const std::int64_t after = system.platform().put(kind, name, account("after")["spec"]);
            if (!monitor.waitFor(after))
                report.addViolation("revision " + std::to_string(after) + " is not in force");
            report.addRequest();
            for (const std::string &error : monitor.regressions())
                report.addViolation(error);
        });
    }

    void silentWatchIsReplaced()
    {
        runRounds("connections between entries and platform silent", [](InvariantReport &report) {
            SystemFixture system {SystemOptions {}};
            for (std::size_t index = 0; index < system.entryCount(); ++index)
                system.setRouteFault(system.entry(index).platformRoute(),
                                     {{"silentExisting", true}});
            const std::int64_t revision =
                system.platform().put(kind, name, account("unseen")["spec"]);
            report.addRequest();
            const auto run = waitFor(system, revision, maxPropagationSeconds);
            if (run.exitCode != 0)
                report.addViolation(run.output);
        });
    }

private:
    static constexpr const char *kind = "ClientAccount";
    static constexpr const char *name = "contractors";
    static constexpr int maxPropagationSeconds = 14;
    static constexpr int timeoutExitCode = 4;
    static constexpr int requestsAfterRestart = 30;

    static void runRounds(const std::string &faults,
                          const std::function<void(InvariantReport &)> &test)
    {
        InvariantReport report("configuration", faults);
        for (std::size_t count = 0; count < InvariantReport::roundCount(); ++count) {
            report.addRound();
            test(report);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), report.violationCount());
    }

    // Replaces the API key, which invalidates the previous one.
    static json account(const std::string &keySuffix)
    {
        return {{"kind", kind},
                {"name", name},
                {"spec", {{"keySha256", sha256("key of " + keySuffix)}, {"priority", 2}}}};
    }

    static OperatorClient::Run waitFor(SystemFixture &system, std::int64_t revision, int seconds)
    {
        return OperatorClient(system, 0).runControlTool(
            {"--revision", std::to_string(revision), "--timeout", std::to_string(seconds), "wait"});
    }

    static std::int64_t platformRevision(SystemFixture &system)
    {
        return system.platform().client().get("/fake/stats")["revision"].get<std::int64_t>();
    }

    static void checkOneWriterWins(InvariantReport &report, SystemFixture &system,
                                   const Result<HttpReply> &ana, const Result<HttpReply> &bea)
    {
        constexpr int accepted = 200;
        constexpr int conflict = 409;
        report.addRequest();
        if (!ana || !bea)
            return report.addViolation("an operator got no answer");
        const bool anaWon = ana.value().status == accepted;
        const HttpReply &won = anaWon ? ana.value() : bea.value();
        const HttpReply &lost = anaWon ? bea.value() : ana.value();
        const std::string winner = anaWon ? "ana" : "bea";
        if (won.status != accepted || lost.status != conflict)
            return report.addViolation("statuses " + std::to_string(won.status) + " and "
                                       + std::to_string(lost.status));
        if (lost.body.find(winner) == std::string::npos)
            report.addViolation("the conflict does not name the writer: " + lost.body);
        if (OperatorClient(system, 0).resource(kind, name)["spec"] != account(winner)["spec"])
            report.addViolation("the stored value is not the accepted one");
    }

    static void revokeKey(InvariantReport &report, SystemFixture &system)
    {
        const std::int64_t revision =
            system.platform().put(kind, name, account("the new key")["spec"]);
        const auto run = waitFor(system, revision, maxPropagationSeconds);
        if (run.exitCode != 0)
            report.addViolation(run.output);
    }

    static void expectKeyRejected(InvariantReport &report, SystemFixture &system, std::size_t entry)
    {
        CallerOptions revoked;
        revoked.apiKey = "contractors-key";
        report.addRequest();
        SseStream stream(system.entry(entry).port, Caller::makeRequest(revoked, {}));
        if (stream.status() == 200)
            report.addViolation("a withdrawn key was accepted");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);
