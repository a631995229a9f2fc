#include "AnswerRound.h"
#include "foxtailring/base/RandomSource.h"
#include "InvariantReport.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::harness;

// Invariants 1 and 2: an answer has each token of one generation exactly once, whatever fails.
class AnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswersTest);
    CPPUNIT_TEST(engineKilledAtFirstToken);
    CPPUNIT_TEST(engineKilledInTheMiddle);
    CPPUNIT_TEST(engineKilledAtLastToken);
    CPPUNIT_TEST(engineCrashesBeforeItReportsTheEnd);
    CPPUNIT_TEST(enginePausedThenContinued);
    CPPUNIT_TEST(engineHangs);
    CPPUNIT_TEST(engineKeepsSendingAfterCancel);
    CPPUNIT_TEST(sidecarKilled);
    CPPUNIT_TEST(sidecarPausedThenContinued);
    CPPUNIT_TEST(entryKilledCallerResumesByEventId);
    CPPUNIT_TEST(entryKilledCallerResumesByIdempotencyKey);
    CPPUNIT_TEST(sidecarAndEngineKilled);
    CPPUNIT_TEST(entryAndEngineVmKilled);
    CPPUNIT_TEST(establishedConnectionSilent);
    CPPUNIT_TEST(oneWayLossToEntry);
    CPPUNIT_TEST(oneWayLossToSidecar);
    CPPUNIT_TEST(twoFailuresOfOneRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void engineKilledAtFirstToken()
    {
        expectComplete("engine killed at the first token", {{1, killEngine}});
    }

    void engineKilledInTheMiddle()
    {
        expectComplete("engine killed in the middle", {{middleToken(), killEngine}});
    }

    void engineKilledAtLastToken()
    {
        expectComplete("engine killed at the last token", {{tokens, killEngine}});
    }

    // Guards against an answer without its end, or with one token too many, when only the end of
    // the engine's output is lost.
    void engineCrashesBeforeItReportsTheEnd()
    {
        expectComplete("engine crashes before it reports the end",
                       {{1, [](AnswerRound &round) {
                             round.initialServer().backendControl().post(
                                 "/fake/fault", {{"crashAfterTokens", tokens - 1}});
                         }}});
    }

    // Guards against late tokens of the old attempt, which the engine sends after SIGCONT.
    void enginePausedThenContinued()
    {
        const std::size_t at = middleToken();
        expectComplete("engine SIGSTOP, SIGCONT after the resume",
                       {{at, [](AnswerRound &round) { round.initialServer().backend->pause(); }},
                        {at + tokensBeforeContinue,
                         [](AnswerRound &round) { round.initialServer().backend->resume(); }}});
    }

    void engineHangs()
    {
        expectComplete(
            "engine hangs",
            {{middleToken(), [](AnswerRound &round) {
                  round.initialServer().backendControl().post("/fake/fault", {{"hang", true}});
              }}});
    }

    void engineKeepsSendingAfterCancel()
    {
        const std::size_t at = middleToken();
        expectComplete(
            "engine hangs, then sends on after its cancellation",
            {{at,
              [](AnswerRound &round) {
                  round.initialServer().backendControl().post(
                      "/fake/fault", {{"hang", true}, {"keepSendingAfterCancel", true}});
              }},
             {at + tokensBeforeContinue, [](AnswerRound &round) {
                  round.initialServer().backendControl().post("/fake/fault", {{"hang", false}});
              }}});
    }

    void sidecarKilled() { expectComplete("sidecar killed", {{middleToken(), killSidecar}}); }

    void sidecarPausedThenContinued()
    {
        const std::size_t at = middleToken();
        expectComplete("sidecar SIGSTOP, SIGCONT after the resume",
                       {{at, [](AnswerRound &round) { round.initialServer().sidecar->pause(); }},
                        {at + tokensBeforeContinue,
                         [](AnswerRound &round) { round.initialServer().sidecar->resume(); }}});
    }

    // The second entry reads the journal: nothing is computed twice.
    void entryKilledCallerResumesByEventId()
    {
        expectComplete("entry killed, caller back with Last-Event-ID", {{middleToken(), killEntry}},
                       oneGeneration);
    }

    void entryKilledCallerResumesByIdempotencyKey()
    {
        CallerOptions request = this->request();
        request.idempotencyKey = "interpretation-7";
        request.discardsEventIds = true;
        expectComplete("entry killed, caller back with Idempotency-Key only",
                       {{middleToken(), killEntry}}, oneGeneration, request);
    }

    void sidecarAndEngineKilled()
    {
        expectComplete("sidecar and engine killed", {{middleToken(), [](AnswerRound &round) {
                                                          killEngine(round);
                                                          killSidecar(round);
                                                      }}});
    }

    // Only the caller still has the tokens, so the answer may end with an error, but must never
    // continue with tokens of another generation.
    void entryAndEngineVmKilled()
    {
        CallerOptions request = this->request();
        request.idempotencyKey = "interpretation-8";
        expect("entry, sidecar and engine killed",
               {{middleToken(),
                 [](AnswerRound &round) {
                     killEngine(round);
                     killSidecar(round);
                     killEntry(round);
                 }}},
               request, [](AnswerRound &, const Answer &answer) {
                   return answer.errorUnlessTruthful(tokens);
               });
    }

    void establishedConnectionSilent()
    {
        expectComplete("connection silent while new ones work",
                       {{middleToken(),
                         [](AnswerRound &round) {
                             round.system().setRouteFault(round.initialServer().entryRoute(),
                                                          {{"silentExisting", true}});
                         }}},
                       oneGeneration);
    }

    void oneWayLossToEntry()
    {
        expectComplete("one-way loss towards the entry", {{middleToken(), [](AnswerRound &round) {
                                                               loseOneWay(round, "to-client");
                                                           }}});
    }

    // Slow tokens make the answer last longer than 3 s, the time that the sidecar waits for an Ack.
    void oneWayLossToSidecar()
    {
        m_systemOptions.tokenMs = 40;
        expectComplete("one-way loss towards the sidecar", {{middleToken(), [](AnswerRound &round) {
                                                                 loseOneWay(round, "to-target");
                                                             }}});
    }

    void twoFailuresOfOneRequest()
    {
        expectComplete("engine killed, then the sidecar that went on",
                       {{tokens / 4, killEngine}, {tokens / 2, [](AnswerRound &round) {
                                                       round.currentServer().sidecar->kill();
                                                   }}});
    }

private:
    using Injections = std::vector<AnswerRound::FaultInjection>;
    using Check = std::function<std::optional<std::string>(AnswerRound &, const Answer &)>;

    static constexpr std::size_t tokens = 160;
    // More tokens than are in flight between engine and caller when a process stops.
    static constexpr std::size_t tokensBeforeContinue = 20;

    static void killEngine(AnswerRound &round) { round.initialServer().backend->kill(); }
    static void killSidecar(AnswerRound &round) { round.initialServer().sidecar->kill(); }
    static void killEntry(AnswerRound &round) { round.system().entry(0).process->kill(); }

    static void loseOneWay(AnswerRound &round, const char *direction)
    {
        round.system().setRouteFault(round.initialServer().entryRoute(), {{"oneWay", direction}});
    }

    static std::optional<std::string> completeAnswer(AnswerRound &, const Answer &answer)
    {
        return answer.errorUnlessComplete(tokens);
    }

    static std::optional<std::string> oneGeneration(AnswerRound &round, const Answer &answer)
    {
        const std::size_t started = round.system().generationsStarted();
        if (started != 1)
            return std::to_string(started) + " generations were started for one answer";
        return answer.errorUnlessComplete(tokens);
    }

    // A token between a quarter and a half of the answer.
    std::size_t middleToken() { return tokens / 4 + m_random.bounded(tokens / 4); }

    static CallerOptions request()
    {
        CallerOptions options;
        options.maxTokens = tokens;
        return options;
    }

    void expectComplete(const std::string &faults, const Injections &injections,
                        const Check &check = completeAnswer,
                        const CallerOptions &options = request())
    {
        expect(faults, injections, options, check);
    }

    void expect(const std::string &faults, const Injections &injections,
                const CallerOptions &options, const Check &check)
    {
        InvariantReport report("answers", faults);
        for (std::size_t count = 0; count < InvariantReport::roundCount(); ++count) {
            AnswerRound round(m_systemOptions, options);
            report.addRound();
            report.addRequest();
            const Answer &answer = round.run(injections);
            if (const auto error = check(round, answer))
                report.addViolation(*error);
            if (answer.end != Answer::End::Complete)
                report.addUnknownOutcome();
            if (const auto error = round.system().resumePrefixError())
                report.addViolation(*error);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), report.violationCount());
    }

    SystemOptions m_systemOptions;
    RandomSource m_random {InvariantReport::seed()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswersTest);
