#include "Crowd.h"
#include "foxtailring/protocol/KeyHash.h"
#include "foxtailring/protocol/ResumeToken.h"
#include "Proof.h"
#include "SseStream.h"
#include "SystemFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::harness;

// Invariant 3: a caller gets the whole answer to their own request, and nobody else's tokens.
class CallersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallersTest);
    CPPUNIT_TEST(crowdUnderFaults);
    CPPUNIT_TEST(tokenOfAnotherAccountIsRefused);
    CPPUNIT_TEST(forgedTokenIsRefused);
    CPPUNIT_TEST(tokenOfAnotherRequestIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers that cross when many are resumed and cut at once.
    void crowdUnderFaults()
    {
        Proof proof("callers",
                    "40 callers: engine killed, sidecar paused and back, connections cut and "
                    "silent, entry killed");
        for (std::size_t count = 0; count < Proof::rounds(); ++count) {
            proof.round();
            crowdRound(proof, "round " + std::to_string(count));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), proof.wrongCount());
    }

    void tokenOfAnotherAccountIsRefused()
    {
        Proof proof("callers", "resume token of another client account");
        SystemFixture system {SystemOptions {}};
        CallerOptions other = m_request;
        other.apiKey = "contractors-key";
        expectRefused(proof, system, other, eventId(system));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), proof.wrongCount());
    }

    void forgedTokenIsRefused()
    {
        Proof proof("callers", "forged resume tokens");
        SystemFixture system {SystemOptions {}};
        const std::string id = eventId(system);
        const auto token = ResumeToken::verify(id, SystemFixture::secret);
        CPPUNIT_ASSERT(token);
        ResumeToken moved = token.value();
        moved.nextOffset = 0;
        const std::string unsignedPart = moved.sign(SystemFixture::secret);
        const std::string signature = id.substr(id.find('.'));
        for (const std::string &forged :
             {token.value().sign("another secret of at least 32 characters"),
              unsignedPart.substr(0, unsignedPart.find('.')) + signature,
              id.substr(0, id.find('.')), id + "A", std::string("not-a-token")})
            expectRefused(proof, system, m_request, forged);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), proof.wrongCount());
    }

    // Guards against the tokens of one request as the continuation of another one.
    void tokenOfAnotherRequestIsRefused()
    {
        Proof proof("callers", "resume token of another request");
        SystemFixture system {SystemOptions {}};
        CallerOptions other = m_request;
        other.prompt = "another prompt";
        expectRefused(proof, system, other, eventId(system));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), proof.wrongCount());
    }

private:
    static constexpr std::size_t callers = 40;
    static constexpr std::size_t tokens = 150;
    const CallerOptions m_request {.prompt = "condition of reach 3", .maxTokens = tokens};

    static void crowdRound(Proof &proof, const std::string &name)
    {
        SystemOptions options;
        options.engines = 4;
        options.entries = 3;
        options.tokenMs = 12;
        options.engineFlags = {"--slots", "40"};
        SystemFixture system(options);
        std::map<std::string, std::string> prompts;
        Crowd crowd(system, callers, name, tokens);
        const auto at = [&](std::size_t percent, const std::function<void()> &strike) {
            crowd.waitForTokens(callers * tokens * percent / 100);
            system.addPrompts(prompts);
            strike();
        };
        at(10, [&] { system.engine(0).backend->kill(); });
        at(25, [&] { system.engine(1).sidecar->pause(); });
        at(40, [&] { system.fault(system.engine(2).inner(), {{"cut", true}}); });
        at(50, [&] { system.fault(system.engine(3).inner(), {{"silentExisting", true}}); });
        at(60, [&] { system.entry(0).process->kill(); });
        // Its share of the callers has been resumed elsewhere by then.
        at(90, [&] { system.engine(1).sidecar->resume(); });
        crowd.join();
        system.addPrompts(prompts);
        check(proof, crowd, prompts);
        if (const auto fault = system.faultInEngines())
            proof.wrong(*fault);
    }

    static void check(Proof &proof, const Crowd &crowd,
                      const std::map<std::string, std::string> &prompts)
    {
        for (std::size_t number = 0; number < callers; ++number) {
            proof.request();
            const Answer &answer = crowd.answer(number);
            const auto prompt = prompts.find(answer.tag());
            if (const auto fault = answer.faultUnlessWhole(tokens))
                proof.wrong("caller " + std::to_string(number) + ": " + *fault);
            else if (prompt == prompts.end() || prompt->second != bodyHash(crowd.prompt(number)))
                proof.wrong("caller " + std::to_string(number) + " has the answer to another one");
        }
    }

    // Event id of the fifth event of an answer that the caller leaves.
    std::string eventId(SystemFixture &system) const
    {
        constexpr int events = 5;
        SseStream stream(system.entry(0).port, Caller::call(m_request, {}));
        std::string id;
        for (int count = 0; count < events; ++count) {
            const auto event = stream.next();
            CPPUNIT_ASSERT(event && !event->id.empty());
            id = event->id;
        }
        return id;
    }

    static void expectRefused(Proof &proof, SystemFixture &system, const CallerOptions &options,
                              const std::string &id)
    {
        proof.round();
        proof.request();
        for (std::size_t entry = 0; entry < system.entryCount(); ++entry) {
            SseStream stream(system.entry(entry).port, Caller::call(options, id));
            const bool isRefused = stream.status() >= 400 && stream.status() < 500;
            if (!isRefused || stream.next())
                proof.wrong("status " + std::to_string(stream.status()) + " for " + id);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallersTest);
