#include "EntryFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <set>

using namespace foxtailring;
using namespace foxtailring::test;

class CallTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallTest);
    CPPUNIT_TEST(callIsPassedThrough);
    CPPUNIT_TEST(idempotentCallIsRetriedElsewhere);
    CPPUNIT_TEST(callThatMustRunOnceIsNotRetriedAfterSending);
    CPPUNIT_TEST(refusedKeyedCallGoesToTheNextInRank);
    CPPUNIT_TEST(keyAlwaysGoesToTheSameHome);
    CPPUNIT_TEST(homeIsAskedAgainAfterACut);
    CPPUNIT_TEST(refusedByAllIsNotRun);
    CPPUNIT_TEST(accountsAreChecked);
    CPPUNIT_TEST_SUITE_END();

    static std::size_t calls(EntryFixture &fixture)
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < fixture.sidecarCount(); ++i)
            count += fixture.sidecar(i).calls.size();
        return count;
    }

    static void setHooks(EntryFixture &fixture, const FakeSidecar::CallHook &hook)
    {
        for (std::size_t i = 0; i < fixture.sidecarCount(); ++i)
            fixture.sidecar(i).setCallHook(hook);
    }

    static CallResult result(Outcome outcome)
    {
        CallResult out;
        out.outcome = outcome;
        out.status = outcome == Outcome::Done ? 201 : 0;
        out.message = "message";
        return out;
    }

    /// The first call of all gets \a first, the others are done.
    static FakeSidecar::CallHook firstGets(const std::optional<CallResult> &first)
    {
        const auto asked = std::make_shared<std::atomic<int>>(0);
        return [asked, first](const Call &) -> std::optional<CallResult> {
            return (*asked)++ == 0 ? first : result(Outcome::Done);
        };
    }

    static std::string outcome(const HttpResponse &response)
    {
        return nlohmann::json::parse(response.body)["outcome"];
    }

public:
    void callIsPassedThrough()
    {
        EntryFixture fixture(1, "registro");
        fixture.sidecar(0).setCallHook([](const Call &) {
            CallResult done = result(Outcome::Done);
            done.headers = {{"X-Sheet", "12"}, {"Connection", "close"}};
            done.body = "body";
            return done;
        });
        const auto response =
            fixture.post("/services/registro/sheets/12?full=1", "in", {{"X-In", "1"}});
        CPPUNIT_ASSERT_EQUAL(201, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), response.body);
        CPPUNIT_ASSERT(response.header("X-Sheet") == "12");
        const Call &call = fixture.sidecar(0).calls.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("/sheets/12?full=1"), call.target);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), call.account);
        CPPUNIT_ASSERT(call.idempotent);
        for (const HttpHeader &header : call.headers)
            CPPUNIT_ASSERT(header.name != "Authorization" && header.name != "authorization");
    }

    void idempotentCallIsRetriedElsewhere()
    {
        for (const auto &first :
             {std::optional(result(Outcome::NotRun)), std::optional(result(Outcome::Unknown)),
              std::optional<CallResult>()}) {
            EntryFixture fixture(2, "registro");
            setHooks(fixture, firstGets(first));
            CPPUNIT_ASSERT_EQUAL(201, fixture.post("/services/registro/sheets", "").status);
            for (const std::size_t each : {0, 1})
                CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.sidecar(each).calls.size());
        }
    }

    // Guards against a revision notice that is filed twice.
    void callThatMustRunOnceIsNotRetriedAfterSending()
    {
        for (const auto &first :
             {std::optional(result(Outcome::Unknown)), std::optional<CallResult>()}) {
            EntryFixture fixture(2, "registro");
            setHooks(fixture, firstGets(first));
            const auto response = fixture.post("/services/registro/locks", "");
            CPPUNIT_ASSERT_EQUAL(504, response.status);
            CPPUNIT_ASSERT_EQUAL(std::string("unknown"), outcome(response));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), calls(fixture));
        }
    }

    void refusedKeyedCallGoesToTheNextInRank()
    {
        EntryFixture fixture(3, "registro");
        setHooks(fixture, firstGets(result(Outcome::NotRun)));
        const auto response =
            fixture.post("/services/registro/locks", "", {{"Idempotency-Key", "k"}});
        CPPUNIT_ASSERT_EQUAL(201, response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), calls(fixture));
    }

    // Guards against two entries that send one key to different servers.
    void keyAlwaysGoesToTheSameHome()
    {
        EntryFixture fixture(3, "registro");
        const std::uint16_t second = fixture.addEntry();
        std::set<std::string> homes;
        for (const char *key : {"k1", "k2", "k3", "k4", "k5", "k6"}) {
            const std::vector<HttpHeader> header {{"Idempotency-Key", key}};
            const std::string path = "/services/registro/locks";
            const std::string home = fixture.post(path, "", header).body;
            CPPUNIT_ASSERT_EQUAL(home, fixture.post(path, "", header, second).body);
            homes.insert(home);
        }
        CPPUNIT_ASSERT(homes.size() > 1);
    }

    // Guards against "unknown" where the home server still knows the result.
    void homeIsAskedAgainAfterACut()
    {
        EntryFixture fixture(3, "registro");
        setHooks(fixture, firstGets(std::nullopt));
        const auto response =
            fixture.post("/services/registro/locks", "", {{"Idempotency-Key", "k"}});
        CPPUNIT_ASSERT_EQUAL(201, response.status);
        for (std::size_t i = 0; i < fixture.sidecarCount(); ++i)
            CPPUNIT_ASSERT(fixture.sidecar(i).calls.size() != 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), calls(fixture));
    }

    void refusedByAllIsNotRun()
    {
        EntryFixture fixture(2, "registro");
        setHooks(fixture, [](const Call &) { return result(Outcome::NotRun); });
        const auto response =
            fixture.post("/services/registro/locks", "", {{"Idempotency-Key", "k"}});
        CPPUNIT_ASSERT_EQUAL(503, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), outcome(response));
        CPPUNIT_ASSERT(!response.header("Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), calls(fixture));
    }

    void accountsAreChecked()
    {
        EntryFixture fixture(1, "registro");
        const auto status = [&](const std::string &key, const std::string &path) {
            return fixture.request({"GET", path, {{"Authorization", "Bearer " + key}}, ""}).status;
        };
        CPPUNIT_ASSERT_EQUAL(403, status("key-b", "/services/registro/sheets"));
        CPPUNIT_ASSERT_EQUAL(401, status("key-c", "/services/registro/sheets"));
        CPPUNIT_ASSERT_EQUAL(404, status("key-a", "/services/lector/sheets"));
        CPPUNIT_ASSERT_EQUAL(404, status("key-a", "/services/nothing"));
        CPPUNIT_ASSERT_EQUAL(404, status("key-a", "/nothing"));
        CPPUNIT_ASSERT(calls(fixture) == 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallTest);
