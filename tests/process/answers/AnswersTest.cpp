#include "AnswerRound.h"
#include "foxtailring/base/RandomSource.h"
#include "Proof.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::harness;

// Invariants 1 and 2: an answer has each token of one generation once, whatever fails meanwhile.
class AnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswersTest);
    CPPUNIT_TEST(engineKilledAtFirstToken);
    CPPUNIT_TEST(engineKilledInTheMiddle);
    CPPUNIT_TEST(engineKilledAtLastToken);
    CPPUNIT_TEST(engineCrashesBeforeItReportsTheEnd);
    CPPUNIT_TEST(enginePausedAndBack);
    CPPUNIT_TEST(engineHangs);
    CPPUNIT_TEST(engineSendsOnAfterCancel);
    CPPUNIT_TEST(sidecarKilled);
    CPPUNIT_TEST(sidecarPausedAndBack);
    CPPUNIT_TEST(entryKilledCallerHasEventId);
    CPPUNIT_TEST(entryKilledCallerHasKeyOnly);
    CPPUNIT_TEST(sidecarAndEngineKilled);
    CPPUNIT_TEST(entryAndEngineVmKilled);
    CPPUNIT_TEST(connectionSilentWhileNewOnesWork);
    CPPUNIT_TEST(oneWayLossTowardsEntry);
    CPPUNIT_TEST(oneWayLossTowardsSidecar);
    CPPUNIT_TEST(twoFailuresOfOneRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    void engineKilledAtFirstToken()
    {
        expectWhole("engine killed at the first token", {{1, killEngine}});
    }

    void engineKilledInTheMiddle()
    {
        expectWhole("engine killed in the middle", {{middle(), killEngine}});
    }

    void engineKilledAtLastToken()
    {
        expectWhole("engine killed at the last token", {{tokens, killEngine}});
    }

    // Guards against an answer without its end, or with one token too many, when only the end of
    // the engine's output is lost.
    void engineCrashesBeforeItReportsTheEnd()
    {
        expectWhole("engine crashes before it reports the end",
                    {{1, [](AnswerRound &round) {
                          round.victim().backendControl().post("/fake/fault",
                                                               {{"crashAfterTokens", tokens - 1}});
                      }}});
    }

    // Guards against late tokens of the old attempt, which the engine sends when it continues.
    void enginePausedAndBack()
    {
        const std::size_t at = middle();
        expectWhole(
            "engine SIGSTOP, SIGCONT after the resume",
            {{at, [](AnswerRound &round) { round.victim().backend->pause(); }},
             {at + afterResume, [](AnswerRound &round) { round.victim().backend->resume(); }}});
    }

    void engineHangs()
    {
        expectWhole("engine hangs",
                    {{middle(), [](AnswerRound &round) {
                          round.victim().backendControl().post("/fake/fault", {{"hang", true}});
                      }}});
    }

    void engineSendsOnAfterCancel()
    {
        const std::size_t at = middle();
        expectWhole("engine hangs, then sends on after its cancellation",
                    {{at,
                      [](AnswerRound &round) {
                          round.victim().backendControl().post(
                              "/fake/fault", {{"hang", true}, {"keepSendingAfterCancel", true}});
                      }},
                     {at + afterResume, [](AnswerRound &round) {
                          round.victim().backendControl().post("/fake/fault", {{"hang", false}});
                      }}});
    }

    void sidecarKilled() { expectWhole("sidecar killed", {{middle(), killSidecar}}); }

    void sidecarPausedAndBack()
    {
        const std::size_t at = middle();
        expectWhole(
            "sidecar SIGSTOP, SIGCONT after the resume",
            {{at, [](AnswerRound &round) { round.victim().sidecar->pause(); }},
             {at + afterResume, [](AnswerRound &round) { round.victim().sidecar->resume(); }}});
    }

    // The journal answers the second entry: nothing is computed twice.
    void entryKilledCallerHasEventId()
    {
        expectWhole("entry killed, caller back with Last-Event-ID", {{middle(), killEntry}},
                    oneGeneration);
    }

    void entryKilledCallerHasKeyOnly()
    {
        CallerOptions request = this->request();
        request.idempotencyKey = "interpretation-7";
        request.dropsEventIds = true;
        expectWhole("entry killed, caller back with Idempotency-Key only", {{middle(), killEntry}},
                    oneGeneration, request);
    }

    void sidecarAndEngineKilled()
    {
        expectWhole("sidecar and engine killed", {{middle(), [](AnswerRound &round) {
                                                       killEngine(round);
                                                       killSidecar(round);
                                                   }}});
    }

    // Nobody but the caller has the tokens: a truthful error, never a splice.
    void entryAndEngineVmKilled()
    {
        CallerOptions request = this->request();
        request.idempotencyKey = "interpretation-8";
        expect("entry, sidecar and engine killed",
               {{middle(),
                 [](AnswerRound &round) {
                     killEngine(round);
                     killSidecar(round);
                     killEntry(round);
                 }}},
               request, [](AnswerRound &, const Answer &answer) {
                   return answer.faultUnlessTruthful(tokens);
               });
    }

    void connectionSilentWhileNewOnesWork()
    {
        expectWhole("connection silent while new ones work",
                    {{middle(),
                      [](AnswerRound &round) {
                          round.system().fault(round.victim().inner(), {{"silentExisting", true}});
                      }}},
                    oneGeneration);
    }

    void oneWayLossTowardsEntry()
    {
        expectWhole("one-way loss towards the entry",
                    {{middle(), [](AnswerRound &round) { loseOneWay(round, "to-client"); }}});
    }

    // Slow tokens: the sidecar misses Ack for 3 s only in an answer that takes longer.
    void oneWayLossTowardsSidecar()
    {
        m_system.tokenMs = 40;
        expectWhole("one-way loss towards the sidecar",
                    {{middle(), [](AnswerRound &round) { loseOneWay(round, "to-target"); }}});
    }

    void twoFailuresOfOneRequest()
    {
        expectWhole("engine killed, then the sidecar that went on",
                    {{tokens / 4, killEngine},
                     {tokens / 2, [](AnswerRound &round) { round.runner().sidecar->kill(); }}});
    }

private:
    using Strikes = std::vector<AnswerRound::Strike>;
    using Check = std::function<std::optional<std::string>(AnswerRound &, const Answer &)>;

    static constexpr std::size_t tokens = 160;
    // More tokens than are under way between engine and caller when a process stops.
    static constexpr std::size_t afterResume = 20;

    static void killEngine(AnswerRound &round) { round.victim().backend->kill(); }
    static void killSidecar(AnswerRound &round) { round.victim().sidecar->kill(); }
    static void killEntry(AnswerRound &round) { round.system().entry(0).process->kill(); }

    static void loseOneWay(AnswerRound &round, const char *direction)
    {
        round.system().fault(round.victim().inner(), {{"oneWay", direction}});
    }

    static std::optional<std::string> whole(AnswerRound &, const Answer &answer)
    {
        return answer.faultUnlessWhole(tokens);
    }

    static std::optional<std::string> oneGeneration(AnswerRound &round, const Answer &answer)
    {
        const std::size_t started = round.system().generationsStarted();
        if (started != 1)
            return std::to_string(started) + " generations were started for one answer";
        return answer.faultUnlessWhole(tokens);
    }

    // A token between a quarter and a half of the answer.
    std::size_t middle() { return tokens / 4 + m_random.bounded(tokens / 4); }

    static CallerOptions request()
    {
        CallerOptions options;
        options.maxTokens = tokens;
        return options;
    }

    void expectWhole(const std::string &faults, const Strikes &strikes, const Check &check = whole,
                     const CallerOptions &options = request())
    {
        expect(faults, strikes, options, check);
    }

    void expect(const std::string &faults, const Strikes &strikes, const CallerOptions &options,
                const Check &check)
    {
        Proof proof("answers", faults);
        for (std::size_t count = 0; count < Proof::rounds(); ++count) {
            AnswerRound round(m_system, options);
            proof.round();
            proof.request();
            const Answer &answer = round.run(strikes);
            if (const auto fault = check(round, answer))
                proof.wrong(*fault);
            if (answer.end != Answer::End::Whole)
                proof.unknown();
            if (const auto fault = round.system().faultInEngines())
                proof.wrong(*fault);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), proof.wrongCount());
    }

    SystemOptions m_system;
    RandomSource m_random {Proof::seed()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswersTest);
