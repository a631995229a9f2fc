#include "CallerGroup.h"
#include "foxtailring/protocol/KeyHash.h"
#include "foxtailring/protocol/ResumeToken.h"
#include "InvariantReport.h"
#include "SseStream.h"
#include "SystemFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace foxtailring::harness;

// Invariant 3: a caller gets the complete answer to its own request and no other caller's tokens.
class CallersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallersTest);
    CPPUNIT_TEST(concurrentCallersUnderFaults);
    CPPUNIT_TEST(tokenOfAnotherAccountIsRejected);
    CPPUNIT_TEST(forgedTokenIsRejected);
    CPPUNIT_TEST(tokenOfAnotherRequestIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers that reach the wrong caller when many are interrupted and resumed at
    // once.
    void concurrentCallersUnderFaults()
    {
        InvariantReport report(
            "callers",
            "40 callers: engine killed, sidecar paused and back, connections cut and "
            "silent, entry killed");
        for (std::size_t count = 0; count < InvariantReport::roundCount(); ++count) {
            report.addRound();
            runConcurrentCallers(report, "round " + std::to_string(count));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), report.violationCount());
    }

    void tokenOfAnotherAccountIsRejected()
    {
        InvariantReport report("callers", "resume token of another client account");
        SystemFixture system {SystemOptions {}};
        CallerOptions other = m_request;
        other.apiKey = "contractors-key";
        expectRejected(report, system, other, fifthEventId(system));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), report.violationCount());
    }

    void forgedTokenIsRejected()
    {
        InvariantReport report("callers", "forged resume tokens");
        SystemFixture system {SystemOptions {}};
        const std::string id = fifthEventId(system);
        const auto token = ResumeToken::verify(id, SystemFixture::secret);
        CPPUNIT_ASSERT(token);
        ResumeToken rewound = token.value();
        rewound.nextOffset = 0;
        const std::string unsignedPart = rewound.sign(SystemFixture::secret);
        const std::string signature = id.substr(id.find('.'));
        for (const std::string &forged :
             {token.value().sign("another secret of at least 32 characters"),
              unsignedPart.substr(0, unsignedPart.find('.')) + signature,
              id.substr(0, id.find('.')), id + "A", std::string("not-a-token")})
            expectRejected(report, system, m_request, forged);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), report.violationCount());
    }

    // Guards against an answer that is continued with the tokens of another request.
    void tokenOfAnotherRequestIsRejected()
    {
        InvariantReport report("callers", "resume token of another request");
        SystemFixture system {SystemOptions {}};
        CallerOptions other = m_request;
        other.prompt = "another prompt";
        expectRejected(report, system, other, fifthEventId(system));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), report.violationCount());
    }

private:
    static constexpr std::size_t callers = 40;
    static constexpr std::size_t tokens = 150;
    const CallerOptions m_request {.prompt = "condition of reach 3", .maxTokens = tokens};

    static void runConcurrentCallers(InvariantReport &report, const std::string &name)
    {
        SystemOptions options;
        options.engines = 4;
        options.entries = 3;
        options.tokenMs = 12;
        options.engineFlags = {"--slots", "40"};
        SystemFixture system(options);
        std::map<std::string, std::string> promptHashes;
        CallerGroup group(system, callers, name, tokens);
        const auto injectAt = [&](std::size_t percent, const std::function<void()> &inject) {
            group.waitForTokens(callers * tokens * percent / 100);
            system.collectPromptHashes(promptHashes);
            inject();
        };
        injectAt(10, [&] { system.engine(0).backend->kill(); });
        injectAt(25, [&] { system.engine(1).sidecar->pause(); });
        injectAt(40, [&] { system.setRouteFault(system.engine(2).entryRoute(), {{"cut", true}}); });
        injectAt(50, [&] {
            system.setRouteFault(system.engine(3).entryRoute(), {{"silentExisting", true}});
        });
        injectAt(60, [&] { system.entry(0).process->kill(); });
        // Its generations have been resumed on other engines by then.
        injectAt(90, [&] { system.engine(1).sidecar->resume(); });
        group.join();
        system.collectPromptHashes(promptHashes);
        check(report, group, promptHashes);
        if (const auto error = system.resumePrefixError())
            report.addViolation(*error);
    }

    static void check(InvariantReport &report, const CallerGroup &group,
                      const std::map<std::string, std::string> &promptHashes)
    {
        for (std::size_t number = 0; number < callers; ++number) {
            report.addRequest();
            const Answer &answer = group.answer(number);
            const auto prompt = promptHashes.find(answer.generationTag());
            if (const auto error = answer.errorUnlessComplete(tokens))
                report.addViolation("caller " + std::to_string(number) + ": " + *error);
            else if (prompt == promptHashes.end()
                     || prompt->second != bodyHash(group.prompt(number)))
                report.addViolation("caller " + std::to_string(number)
                                    + " has the answer to another one");
        }
    }

    // Starts an answer, disconnects after five events and returns the id of the last one.
    std::string fifthEventId(SystemFixture &system) const
    {
        constexpr int eventCount = 5;
        SseStream stream(system.entry(0).port, Caller::makeRequest(m_request, {}));
        std::string id;
        for (int count = 0; count < eventCount; ++count) {
            const auto event = stream.next();
            CPPUNIT_ASSERT(event && !event->id.empty());
            id = event->id;
        }
        return id;
    }

    static void expectRejected(InvariantReport &report, SystemFixture &system,
                               const CallerOptions &options, const std::string &id)
    {
        report.addRound();
        report.addRequest();
        for (std::size_t entry = 0; entry < system.entryCount(); ++entry) {
            SseStream stream(system.entry(entry).port, Caller::makeRequest(options, id));
            const bool isRefused = stream.status() >= 400 && stream.status() < 500;
            if (!isRefused || stream.next())
                report.addViolation("status " + std::to_string(stream.status()) + " for " + id);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallersTest);
