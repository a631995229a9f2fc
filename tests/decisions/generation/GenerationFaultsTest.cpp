#include "foxtailring/base/RandomSource.h"
#include "foxtailring/decisions/generation/GenerationSession.h"
#include "foxtailring/protocol/Failed.h"
#include "foxtailring/protocol/Finished.h"
#include "foxtailring/protocol/Refused.h"

#include "GenerationTestData.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace foxtailring;
using namespace foxtailring::test;
using namespace std::chrono_literals;
using Action = GenerationAction;

class GenerationFaultsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GenerationFaultsTest);
    CPPUNIT_TEST(anyFaultsGiveOneWholeAnswer);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now {1h};

public:
    // Guards against combinations of faults that no other test covers. In every run, the emitted
    // tokens must form one answer in which each attempt continued its exact prefix.
    void anyFaultsGiveOneWholeAnswer()
    {
        constexpr std::uint64_t seed = 20240611;
        std::cout << " seed " << seed;
        RandomSource random(seed);
        std::size_t completed = 0;
        for (int round = 0; round < 500; ++round)
            completed += randomRun(random) ? 1 : 0;
        CPPUNIT_ASSERT(completed > 250);
    }

private:
    struct RandomEngine
    {
        std::vector<Token> tokens; ///< of the current attempt, including the prefix
        std::uint64_t sent = 0;
        std::uint32_t attempt = 0;
    };

    bool randomRun(RandomSource &random)
    {
        m_now = TimePoint(1h);
        GenerationSession session(spec(), {});
        RandomEngine engine;
        std::vector<Token> emitted;
        bool completed = false;
        auto pending = session.start(m_now);
        for (int step = 0; step < 3000 && !session.isDone(); ++step) {
            apply(pending, engine, emitted);
            m_now += std::chrono::milliseconds(random.bounded(300));
            pending = randomEvent(session, engine, random);
            completed = completed || find<Action::Complete>(pending);
        }
        apply(pending, engine, emitted);
        if (completed)
            checkWhole(emitted, engine);
        return completed;
    }

    static void apply(const GenerationActions &actions, RandomEngine &engine,
                      std::vector<Token> &emitted)
    {
        for (const auto &action : actions) {
            if (const auto *start = std::get_if<Action::Start>(&action))
                engine = RandomEngine {start->prefix, start->prefix.size(), start->attempt};
            if (const auto *attach = std::get_if<Action::Attach>(&action))
                engine.sent = attach->fromOffset;
            if (const auto *emit = std::get_if<Action::Emit>(&action)) {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t(emitted.size()), emit->offset);
                emitted.insert(emitted.end(), emit->tokens.begin(), emit->tokens.end());
            }
        }
    }

    static Tokens nextTokens(RandomEngine &engine, RandomSource &random)
    {
        const std::uint64_t end =
            std::min<std::uint64_t>(answerTokens, engine.sent + 1 + random.bounded(5));
        while (engine.tokens.size() < end)
            engine.tokens.push_back(tokenAfter(engine.tokens.size(), engine.attempt));
        const std::uint64_t from = engine.sent - std::min(engine.sent, random.bounded(3));
        Tokens out {"r", engine.attempt, from, {}};
        out.tokens.assign(engine.tokens.begin() + static_cast<std::ptrdiff_t>(from),
                          engine.tokens.begin() + static_cast<std::ptrdiff_t>(end));
        engine.sent = end;
        return out;
    }

    GenerationActions randomEvent(GenerationSession &session, RandomEngine &engine,
                                  RandomSource &random)
    {
        if (session.server().empty() && random.bounded(4) > 0)
            return session.onServerChosen("s" + std::to_string(random.bounded(9)), m_now);
        switch (random.bounded(12)) {
        case 0:
            return session.onStreamClosed(engine.attempt, {ErrorCode::Closed, "cut"}, m_now);
        case 1:
            return session.onFailed(
                Failed {"r", engine.attempt, engine.sent, ErrorCode::EngineFailed, ""}, m_now);
        case 2:
            return session.onRefused(Refused {"r", engine.attempt, ErrorCode::NotFound, "", 0},
                                     m_now);
        case 3:
            return session.onTokens(
                tokensMessage(engine.attempt - 1, session.answer().nextOffset(), 4), m_now);
        case 4:
            return session.onTokens(
                tokensMessage(engine.attempt, session.answer().nextOffset() + 1, 4), m_now);
        case 5:
            return session.onNoServer({ErrorCode::Unavailable, ""}, 0ms, m_now);
        case 6:
            return session.tick(m_now);
        default:
            break;
        }
        if (engine.sent == answerTokens)
            return session.onFinished(Finished {"r", engine.attempt, answerTokens, "length"},
                                      m_now);
        return session.onTokens(nextTokens(engine, random), m_now);
    }

    static void checkWhole(const std::vector<Token> &emitted, const RandomEngine &engine)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(answerTokens), emitted.size());
        for (std::size_t i = 0; i < emitted.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(engine.tokens[i].id, emitted[i].id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GenerationFaultsTest);
