#include "foxtailring/protocol/Call.h"
#include "foxtailring/decisions/configuration/StoredResource.h"
#include "foxtailring/protocol/CallResult.h"
#include "foxtailring/sidecar/StoredAnswer.h"
#include "SidecarFixture.h"
#include "TestStore.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;
using namespace std::chrono_literals;

class CallTest : public SidecarFixture
{
    CPPUNIT_TEST_SUITE(CallTest);
    CPPUNIT_TEST(idempotentCallIsForwardedOnce);
    CPPUNIT_TEST(unreachableServiceIsNotRun);
    CPPUNIT_TEST(lostReplyIsUnknown);
    CPPUNIT_TEST(keyedCallRunsOnceAfterItsClaim);
    CPPUNIT_TEST(lostClaimReplyIsReadBack);
    CPPUNIT_TEST(outageAnswersFromMemory);
    CPPUNIT_TEST(deadlineBeforeTheClaimSendsNothing);
    CPPUNIT_TEST(newerConfigurationForbidsRepeats);
    CPPUNIT_TEST(refusedKeyedCallIsNeverCalledNotRun);
    CPPUNIT_TEST(storedAnswerKeepsEveryByte);
    CPPUNIT_TEST_SUITE_END();

    TestStore m_store;

    static SidecarSettings settings()
    {
        SidecarSettings settings;
        settings.kind = ServiceType::Plain;
        settings.requireConfig = false;
        return settings;
    }

    static Call message(const std::string &key, bool idempotent = false)
    {
        Call call;
        call.requestId = "0123456789abcdef0123456789abcdef";
        call.account = "acme";
        call.service = "lector";
        call.method = "POST";
        call.target = "/orders?x=1";
        call.headers = {{"Content-Type", "text/plain"}, {"Idempotency-Key", "not this one"}};
        call.body = "repair";
        call.idempotencyKey = key;
        call.idempotent = idempotent;
        call.deadlineMs = 20'000;
        return call;
    }

    CallResult run(const Call &call)
    {
        TestEntry entry(client(), "/call", call);
        return entry.next<CallResult>();
    }

    void answer(std::size_t index, const std::string &body)
    {
        m_engine->call(index).responder->respond({201, {{"X-Order", "7"}}, body});
    }

public:
    void idempotentCallIsForwardedOnce()
    {
        startSidecar(settings());
        TestEntry entry(client(), "/call", message("", true));
        const auto call = m_engine->call(0);
        CPPUNIT_ASSERT_EQUAL(std::string("/orders?x=1"), call.request.target);
        CPPUNIT_ASSERT_EQUAL(std::string("repair"), call.request.body);
        CPPUNIT_ASSERT(call.request.header("idempotency-key").empty());
        CPPUNIT_ASSERT(!call.request.header("traceparent").empty());
        answer(0, "ok");
        const auto result = entry.next<CallResult>();
        CPPUNIT_ASSERT(result.outcome == Outcome::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(201), result.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.body);
    }

    // Guards against an "unknown" that keeps the entry from trying another server.
    void unreachableServiceIsNotRun()
    {
        startSidecar(settings(), m_store.store());
        m_engine->close();
        CPPUNIT_ASSERT(run(message("")).outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(run(message("k")).outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(m_store.waitForText("\"outcome\":\"notRun\""));
    }

    // Guards against a call that runs twice because its reply was lost.
    void lostReplyIsUnknown()
    {
        startSidecar(settings());
        for (const bool idempotent : {false, true}) {
            TestEntry entry(client(), "/call", message("", idempotent));
            m_engine->call(idempotent ? 1 : 0).responder->abort();
            CPPUNIT_ASSERT(entry.next<CallResult>().outcome == Outcome::Unknown);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_engine->callCount());
    }

    // Guards against a repair order that is filed twice, or before its claim is stored.
    void keyedCallRunsOnceAfterItsClaim()
    {
        startSidecar(settings(), m_store.store());
        m_store.setFault(TestStore::Fault::Silent);
        TestEntry entry(client(), "/call", message("k"));
        CPPUNIT_ASSERT(m_store.waitForHeldSwap());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_engine->callCount());
        m_store.setFault(TestStore::Fault::None);
        m_store.release();
        CPPUNIT_ASSERT_EQUAL(std::string("k"),
                             std::string(m_engine->call(0).request.header("idempotency-key")));
        answer(0, std::string("a\0b", 3));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(201), entry.next<CallResult>().status);
        const auto again = run(message("k"));
        CPPUNIT_ASSERT_EQUAL(std::string("a\0b", 3), again.body);
        CPPUNIT_ASSERT_EQUAL(std::string("7"), again.headers.at(0).value);
        auto other = message("k");
        other.body = "another order";
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(409), run(other).status);
        CPPUNIT_ASSERT(m_store.waitForText("\"outcome\":\"done\""));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_engine->callCount());
    }

    void lostClaimReplyIsReadBack()
    {
        startSidecar(settings(), m_store.store());
        m_store.setFault(TestStore::Fault::LostReply);
        TestEntry entry(client(), "/call", message("k"));
        answer(0, "ok");
        CPPUNIT_ASSERT(entry.next<CallResult>().outcome == Outcome::Done);
        m_store.setFault(TestStore::Fault::None);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_engine->callCount());
    }

    // Guards against a "not run" during an outage that an earlier attempt makes untrue.
    void outageAnswersFromMemory()
    {
        startSidecar(settings(), m_store.store());
        TestEntry entry(client(), "/call", message("known"));
        answer(0, "ok");
        entry.next<CallResult>();
        m_store.setFault(TestStore::Fault::Unavailable);
        CPPUNIT_ASSERT(run(message("known")).outcome == Outcome::Done);
        const auto result = run(message("new"));
        CPPUNIT_ASSERT(result.outcome == Outcome::Unknown);
        CPPUNIT_ASSERT(result.message.starts_with("this attempt was not run"));
        CPPUNIT_ASSERT(result.retryAfterMs > 0);
        TestEntry unkeyed(client(), "/call", message(""));
        answer(1, "ok");
        CPPUNIT_ASSERT(unkeyed.next<CallResult>().outcome == Outcome::Done);
    }

    // Guards against a call that runs after its entry has told the caller that it did not.
    void deadlineBeforeTheClaimSendsNothing()
    {
        startSidecar(settings(), m_store.store());
        m_store.setFault(TestStore::Fault::Silent);
        auto call = message("k");
        call.deadlineMs = 50;
        CPPUNIT_ASSERT(run(call).message.starts_with("this attempt was not run"));
        m_store.setFault(TestStore::Fault::None);
        m_store.release();
        CPPUNIT_ASSERT(m_store.waitForText("\"outcome\":\"notRun\""));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_engine->callCount());
    }

    // Guards against an entry that does not know yet that a call must run once.
    void newerConfigurationForbidsRepeats()
    {
        startSidecar(settings(), m_store.store());
        const StoredResource service {
            "Service",
            "lector",
            5,
            "op",
            "c",
            R"({"type":"plain","checksFencing":true,"nonIdempotent":[{"method":"POST","pathPrefix":"/orders"}]})"};
        TestEntry config(
            client(), "/node/config",
            ConfigUpdate {5, 0, {{"Service", "lector", 5, service.toJson(), false}}, 0, {}});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(5), config.next<ConfigAck>().revision);
        TestEntry entry(client(), "/call", message("k", true));
        const auto call = m_engine->call(0);
        CPPUNIT_ASSERT_EQUAL(std::string("77"),
                             std::string(call.request.header("x-fencing-token")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_store.swaps());
        answer(0, "ok");
        entry.next<CallResult>();
    }

    void refusedKeyedCallIsNeverCalledNotRun()
    {
        auto changed = settings();
        changed.requireConfig = true;
        startSidecar(changed, m_store.store());
        CPPUNIT_ASSERT(run(message("")).outcome == Outcome::NotRun);
        CPPUNIT_ASSERT(run(message("k")).outcome == Outcome::Unknown);
        auto elsewhere = message("k");
        elsewhere.service = "another";
        CPPUNIT_ASSERT(run(elsewhere).outcome == Outcome::Unknown);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_engine->callCount());
    }

    void storedAnswerKeepsEveryByte()
    {
        for (std::size_t size = 0; size < 8; ++size) {
            std::string body;
            for (std::size_t i = 0; i < size; ++i)
                body += static_cast<char>(i * 37);
            const auto text = StoredAnswer::encode({200, {{"A", "b"}}, body});
            const auto decoded = StoredAnswer::decode(text);
            CPPUNIT_ASSERT_EQUAL(body, decoded.value().body);
            CPPUNIT_ASSERT_EQUAL(std::string("b"), decoded.value().headers.at(0).value);
        }
        CPPUNIT_ASSERT(!StoredAnswer::decode("?").isOk());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallTest);
