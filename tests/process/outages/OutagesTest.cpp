#include "CallerGroup.h"
#include "InvariantReport.h"
#include "OperatorClient.h"
#include "SystemFixture.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <set>
#include <thread>

using namespace foxtailring;
using namespace foxtailring::harness;
using nlohmann::json;

// While the platform is down or slow, generations and resumes continue and rejections have a reason
// and a Retry-After; when it recovers, retries do not overload it.
class OutagesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutagesTest);
    CPPUNIT_TEST(generationsContinueWhilePlatformIsDown);
    CPPUNIT_TEST(generationsContinueWhilePlatformHangs);
    CPPUNIT_TEST(generationsContinueWhilePlatformIsSlow);
    CPPUNIT_TEST(rejectionsHaveReasonAndRetryAfter);
    CPPUNIT_TEST(lostRepliesHaveReasonAndRetryAfter);
    CPPUNIT_TEST(callsWithoutKeyContinue);
    CPPUNIT_TEST(retriesDoNotOverloadRecoveredPlatform);
    CPPUNIT_TEST_SUITE_END();

public:
    void generationsContinueWhilePlatformIsDown()
    {
        expectGenerationsContinue("platform down, engine killed, connections cut",
                                  {{"down", "close"}});
    }

    void generationsContinueWhilePlatformHangs()
    {
        expectGenerationsContinue("platform hangs, engine killed, connections cut",
                                  {{"down", "hang"}});
    }

    void generationsContinueWhilePlatformIsSlow()
    {
        expectGenerationsContinue("platform slow, engine killed, connections cut",
                                  {{"slowMs", 3000}});
    }

    void rejectionsHaveReasonAndRetryAfter()
    {
        runRounds(
            "platform refuses connections: keyed call and resource change",
            [](InvariantReport &report) {
                SystemFixture system(options());
                refusePlatform(system);
                expectRetryAdvice(report, sendNotice(system, "notice-1"), {unavailableStatus});
                expectRetryAdvice(report, OperatorClient(system, 0).put(newModel(), "", "ana"),
                                  {unavailableStatus});
            });
    }

    // A platform that closes the connection may have stored the change, so the outcome is unknown.
    void lostRepliesHaveReasonAndRetryAfter()
    {
        runRounds(
            "platform closes connections: keyed call and resource change",
            [](InvariantReport &report) {
                SystemFixture system(options());
                system.setPlatformFault({{"down", "close"}});
                expectRetryAdvice(report, sendNotice(system, "notice-1"), {unavailableStatus});
                expectRetryAdvice(report, OperatorClient(system, 0).put(newModel(), "", "ana"),
                                  {unavailableStatus, timeoutStatus});
            });
    }

    void callsWithoutKeyContinue()
    {
        runRounds("platform hangs: calls without a key", [](InvariantReport &report) {
            SystemFixture system(options());
            system.setPlatformFault({{"down", "hang"}});
            report.addRequest();
            const auto reply = system.entry(0).client().send(
                {"GET",
                 std::string("/services/") + SystemFixture::plainService + "/sheets/7",
                 {{"Authorization", "Bearer electricians-key"}},
                 {}});
            if (!reply || reply.value().status != 200)
                report.addViolation("a read was not answered");
            const auto unkeyed = sendNotice(system, {});
            if (!unkeyed || unkeyed.value().status != 200)
                report.addViolation("a call without a key was not answered");
        });
    }

    // The limits are for this small system; docs/CAPACITY.md derives those of the fleet.
    void retriesDoNotOverloadRecoveredPlatform()
    {
        runRounds("platform back after an outage, callers retry keyed calls",
                  [](InvariantReport &report) {
                      SystemFixture system(options());
                      system.setPlatformFault({{"down", "close"}});
                      std::vector<std::thread> callers;
                      std::atomic<std::size_t> refusedCalls = 0;
                      for (std::size_t number = 0; number < retryingCallers; ++number)
                          callers.emplace_back([&, number] {
                              if (!retryUntilDone(system, "notice-" + std::to_string(number),
                                                  refusedCalls))
                                  report.addViolation("call " + std::to_string(number)
                                                      + " never ran");
                          });
                      waitUntil([&] { return refusedCalls >= retryingCallers * 3; });
                      system.setPlatformFault({{"down", false}});
                      for (std::thread &caller : callers)
                          caller.join();
                      checkRates(report, system.platform().client().get("/fake/stats"));
                  });
    }

private:
    static constexpr std::size_t callers = 16;
    static constexpr std::size_t tokens = 120;
    static constexpr std::size_t retryingCallers = 40;
    // Load that the platform sustains.
    static constexpr int maxWritesPerSecond = 300;
    static constexpr int maxReadsPerSecond = 2000;
    static constexpr int unavailableStatus = 503;
    static constexpr int timeoutStatus = 504;

    static json newModel()
    {
        return {{"kind", "Model"}, {"name", "another"}, {"spec", {{"versions", json::array()}}}};
    }

    static void refusePlatform(SystemFixture &system)
    {
        const json refuse = {{"refuse", true}, {"cut", true}};
        for (std::size_t index = 0; index < system.entryCount(); ++index)
            system.setRouteFault(system.entry(index).platformRoute(), refuse);
        for (std::size_t index = 0; index < system.serviceCount(); ++index)
            system.setRouteFault(system.service(index).platformRoute(), refuse);
    }

    static SystemOptions options()
    {
        SystemOptions options;
        options.services = 3;
        options.tokenMs = 8;
        options.engineFlags = {"--slots", "32"};
        return options;
    }

    static void runRounds(const std::string &faults,
                          const std::function<void(InvariantReport &)> &test)
    {
        InvariantReport report("outages", faults);
        for (std::size_t count = 0; count < InvariantReport::roundCount(); ++count) {
            report.addRound();
            test(report);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), report.violationCount());
    }

    static void expectGenerationsContinue(const std::string &faults, const json &platformFault)
    {
        runRounds(faults, [&](InvariantReport &report) {
            SystemFixture system(options());
            system.setPlatformFault(platformFault);
            CallerGroup group(system, callers, "load", tokens);
            group.waitForTokens(callers * tokens / 4);
            system.engine(0).backend->kill();
            group.waitForTokens(callers * tokens / 2);
            system.setRouteFault(system.engine(1).entryRoute(), {{"cut", true}});
            group.join();
            for (std::size_t number = 0; number < callers; ++number) {
                report.addRequest();
                if (const auto error = group.answer(number).errorUnlessComplete(tokens))
                    report.addViolation(*error);
            }
        });
    }

    static Result<HttpReply> sendNotice(SystemFixture &system, const std::string &key)
    {
        HttpCall call {"POST",
                       std::string("/services/") + SystemFixture::plainService + "/notices/" + key,
                       {{"Authorization", "Bearer electricians-key"}},
                       "revision 4"};
        if (!key.empty())
            call.headers.push_back({"Idempotency-Key", key});
        return system.entry(0).client().send(call);
    }

    static void expectRetryAdvice(InvariantReport &report, const Result<HttpReply> &reply,
                                  const std::set<int> &statuses)
    {
        report.addRequest();
        if (!reply)
            return report.addViolation("no answer: " + reply.error().message);
        const auto problem = json::parse(reply.value().body, nullptr, false);
        const bool hasReason = problem.is_object() && !problem.value("detail", "").empty();
        if (!statuses.contains(reply.value().status) || !hasReason
            || reply.value().header("Retry-After").empty())
            report.addViolation("status " + std::to_string(reply.value().status)
                                + ", Retry-After \"" + reply.value().header("Retry-After") + "\", "
                                + reply.value().body);
    }

    static bool retryUntilDone(SystemFixture &system, const std::string &key,
                               std::atomic<std::size_t> &refusedCalls)
    {
        return waitUntil([&] {
            const auto reply = sendNotice(system, key);
            const bool isDone = reply && reply.value().status == 200;
            refusedCalls += isDone ? 0 : 1;
            return isDone;
        });
    }

    static void checkRates(InvariantReport &report, const json &stats)
    {
        const int writes = stats["largestWritesPerSecond"].get<int>();
        const int reads = stats["largestReadsPerSecond"].get<int>();
        report.addRequest();
        if (writes > maxWritesPerSecond || reads > maxReadsPerSecond)
            report.addViolation(std::to_string(writes) + " writes and " + std::to_string(reads)
                                + " reads in one second");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutagesTest);
