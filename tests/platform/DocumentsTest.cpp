#include "ConfigDocument.h"
#include "EngineReport.h"
#include "foxtailring/transport/HttpResponse.h"
#include "ServerEntry.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace foxtailring;

namespace {

constexpr std::string_view config = R"({"version":7,"routes":[
 {"name":"r1","host":"h.example","path_prefix":"/p/","kind":"streaming","timeout_ms":25000,
  "target_latency_ms":4500,"priority":1,"service":"s1","max_attempts":5,"public":false,
  "can_resume":true,"gap_target_ms":700},
 {"name":"r2","host":"h.example","path_prefix":"/q/","kind":"idempotent","timeout_ms":100,
  "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"public":true}],
 "services":[{"name":"s1","max_conns":370,"engine":{"kv_capacity_tokens":88000,"backups":true,
  "stride":5}},{"name":"s2","max_conns":110}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,
  "idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}],"unknown":{"x":1}})";

constexpr std::string_view server = R"({"service":"s1","address":"10.0.0.9:8080","zone":"z",
 "version":"v1","slots":64,"state":"ready","cold_left_ms":0,"seq":4,"born":1700000000000})";

std::string replaced(std::string_view text, std::string_view from, std::string_view to)
{
    std::string out(text);
    const auto at = out.find(from);
    CPPUNIT_ASSERT(at != std::string::npos);
    return out.replace(at, from.size(), to);
}

} // namespace

class DocumentsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentsTest);
    CPPUNIT_TEST(configIsDecoded);
    CPPUNIT_TEST(unknownKindIsNotRetried);
    CPPUNIT_TEST(invalidConfigErrorNamesTheField);
    CPPUNIT_TEST(configOutOfRangeIsUnreadable);
    CPPUNIT_TEST(timesBeyondADayAreShortened);
    CPPUNIT_TEST(numberBeyondADoubleCostsOnlyItsField);
    CPPUNIT_TEST(numberBeyondADoubleIsOfTheWrongType);
    CPPUNIT_TEST(configWithoutAccountsNeedsNoKeys);
    CPPUNIT_TEST(serverIsDecoded);
    CPPUNIT_TEST(invalidEntriesAreRefused);
    CPPUNIT_TEST(engineReportIsDecoded);
    CPPUNIT_TEST(firstWaitingRunMayBeUnreadable);
    CPPUNIT_TEST(engineReportMayListNoRuns);
    CPPUNIT_TEST(oddReportsOfEnginesAreRefused);
    CPPUNIT_TEST(oddRunsOfEnginesAreNotFound);
    CPPUNIT_TEST(promptListIsDecoded);
    CPPUNIT_TEST(otherResponsesAreNotAReport);
    CPPUNIT_TEST_SUITE_END();

public:
    void configIsDecoded()
    {
        const RouteConfig out = platform::decodeConfig(config).value();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), out.version);
        const HttpRoute &stream = out.routes.at(0);
        CPPUNIT_ASSERT(stream.kind == CallKind::Stream && stream.isResumable);
        CPPUNIT_ASSERT(stream.maxEventGap == std::chrono::milliseconds(700));
        CPPUNIT_ASSERT_EQUAL(std::string("s1"), stream.targets.at(0).service);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), out.routes.at(1).targets.size());
        CPPUNIT_ASSERT_EQUAL(10U, out.routes.at(1).targets.at(1).weight);
        CPPUNIT_ASSERT(out.services.at(0).copiesContinuously
                       && !out.services.at(1).copiesContinuously);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4096), out.limits.maxBodyBytes);
        CPPUNIT_ASSERT(out.hasAccounts);
        CPPUNIT_ASSERT_EQUAL(std::string("k2"), out.accounts.at(0).keys.at(1));
    }

    void unknownKindIsNotRetried()
    {
        const auto out = platform::decodeConfig(replaced(config, "idempotent", "sometimes"));
        CPPUNIT_ASSERT(out.value().routes.at(1).kind == CallKind::NonIdempotent);
    }

    void invalidConfigErrorNamesTheField()
    {
        CPPUNIT_ASSERT(!platform::decodeConfig("{").isOk());
        const auto out = platform::decodeConfig(replaced(config, R"("/q/")", "5"));
        CPPUNIT_ASSERT(out.error().message.find("path_prefix") != std::string::npos);
        // The place in a large configuration.
        CPPUNIT_ASSERT_MESSAGE(out.error().message, out.error().message.starts_with("routes[1]"));
    }

    // Guards against times that overflow, limits of 2^64 bytes and names that end a header.
    void configOutOfRangeIsUnreadable()
    {
        const std::string route =
            R"("host":"h","path_prefix":"/","kind":"idempotent","service":"s")";
        const std::string documents[] = {
            R"({"version":1,"routes":[{)" + route + R"(,"timeout_ms":-1}]})",
            R"({"version":1,"limits":{"max_body_bytes":-1}})",
            R"({"version":1,"tenants":[{"name":"a\nb","api_keys":[]}]})",
            R"({"version":1,"tenants":[{"name":")" + std::string(70'000, 'a') + R"("}]})"};
        for (const std::string &document : documents)
            CPPUNIT_ASSERT_MESSAGE(document.substr(0, 60), !platform::decodeConfig(document));
        CPPUNIT_ASSERT(platform::decodeConfig(R"({"version":1,"routes":[{)" + route
                                              + R"(,"timeout_ms":1}]})"));
    }

    void timesBeyondADayAreShortened()
    {
        const auto out = platform::decodeConfig(
            R"({"version":1,"limits":{"idle_timeout_ms":9223372036854775807}})");
        CPPUNIT_ASSERT(out.value().limits.idleTimeout == std::chrono::hours(24));
    }

    // Guards against new routes and revoked keys that do not come into force because of a field
    // that nothing reads.
    void numberBeyondADoubleCostsOnlyItsField()
    {
        for (const char *huge : {"1e400", "-1e400", "1.5E+999"}) {
            const auto out =
                platform::decodeConfig(replaced(config, R"("x":1)", R"("x":)" + std::string(huge)));
            CPPUNIT_ASSERT_MESSAGE(huge, out.isOk());
            CPPUNIT_ASSERT_EQUAL(std::int64_t(7), out.value().version);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), out.value().routes.size());
            CPPUNIT_ASSERT(out.value().hasAccounts && !out.value().routes.at(0).isPublic);
        }
    }

    // A configuration is taken as a whole or not at all: without one of these fields it could open
    // a route or lose an account. The earlier one stays in force.
    void numberBeyondADoubleIsOfTheWrongType()
    {
        for (const auto &[name, from] :
             {std::pair("version", "7"), std::pair("timeout_ms", "25000"),
              std::pair("public", "false"), std::pair("host", R"("h.example")"),
              std::pair("max_conns", "370"), std::pair("kv_capacity_tokens", "88000"),
              std::pair("max_body_bytes", "4096"), std::pair("weight", "90"),
              std::pair("priority", "1"), std::pair("api_keys", R"(["k1","k2"])")}) {
            const std::string field = '"' + std::string(name) + "\":";
            const auto out =
                platform::decodeConfig(replaced(config, field + from, field + "1e400"));
            CPPUNIT_ASSERT_MESSAGE(name, !out.isOk());
            CPPUNIT_ASSERT_MESSAGE(out.error().message,
                                   out.error().message.find(name) != std::string::npos);
        }
        CPPUNIT_ASSERT(!platform::decodeConfig(replaced(config, R"("k1")", "1e400")));
        CPPUNIT_ASSERT(
            !platform::decodeConfig(replaced(config, R"({"name":"t1")", R"(1e400,{"name":"t1")")));
    }

    void configWithoutAccountsNeedsNoKeys()
    {
        const auto out = platform::decodeConfig(replaced(config, R"("tenants")", R"("others")"));
        CPPUNIT_ASSERT(!out.value().hasAccounts);
    }

    void serverIsDecoded()
    {
        const BackendInfo info = platform::decodeServer("i-1", server).value();
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), info.id);
        CPPUNIT_ASSERT_EQUAL(64U, info.slots);
        CPPUNIT_ASSERT(!info.isDraining);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1700000000000), info.startedAtMs);
        CPPUNIT_ASSERT(platform::decodeServer("i-1", replaced(server, "ready", "draining"))
                           .value()
                           .isDraining);
    }

    // Runs in prefill are counted but missing from the list.
    void engineReportIsDecoded()
    {
        const HttpResponse answer {200, {}, R"({"num_waiting":1,"num_running":3,"kv_used":4100,
            "kv_total":90000,"runs":[["r1",4100,7,5],["r2",90,1,5]]})"};
        const ServerProbeResult own = platform::decodeLoadReport(answer, "r1").value();
        CPPUNIT_ASSERT(own.hasRun);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), own.eventCount);
        CPPUNIT_ASSERT_EQUAL(1U, own.load.prefilling);
        CPPUNIT_ASSERT_EQUAL(1U, own.load.waiting);
        CPPUNIT_ASSERT(own.listsRuns);
        CPPUNIT_ASSERT(!platform::decodeLoadReport(answer, "r3").value().hasRun);
    }

    // Guards against a report that is lost, or a run that is moved, because of an odd size.
    void firstWaitingRunMayBeUnreadable()
    {
        const std::string report =
            R"({"num_waiting":1,"num_running":3,"kv_used":41,"kv_total":90,"next":8200,"runs":[]})";
        const auto decoded = [&report](const char *next) {
            const HttpResponse answer {200, {}, replaced(report, "8200", next)};
            const auto result = platform::decodeLoadReport(answer, "r");
            CPPUNIT_ASSERT_MESSAGE(next, result.isOk());
            return result.value().firstWaitingTokens;
        };
        CPPUNIT_ASSERT(decoded("8200") == std::uint64_t(8200));
        for (const char *odd : {"0", "-1", "8.5", "\"8200\"", "null", "[]"})
            CPPUNIT_ASSERT_MESSAGE(odd, !decoded(odd));
    }

    // Guards against a run that is taken for lost because its engine lists no runs.
    void engineReportMayListNoRuns()
    {
        const HttpResponse answer {200, {}, R"({"num_waiting":0,"num_running":3,"kv_used":41,
            "kv_total":90})"};
        CPPUNIT_ASSERT(!platform::decodeLoadReport(answer, "r").value().listsRuns);
    }

    // Guards against an engine that counts as idle because its load wrapped or is negative, and
    // against a start time by which each engine has restarted.
    void oddReportsOfEnginesAreRefused()
    {
        const std::string report =
            R"({"num_waiting":1,"num_running":3,"kv_used":41,"kv_total":90,"born":17,"runs":[]})";
        CPPUNIT_ASSERT(platform::decodeLoadReport({200, {}, report}, "r").isOk());
        for (const auto &[from, to] :
             {std::pair("g\":3", "g\":18446744073709551615"), std::pair("g\":3", "g\":-3"),
              std::pair("g\":1,", "g\":1e400,"), std::pair("d\":41", "d\":-1"),
              std::pair("l\":90", "l\":\"90\""), std::pair("n\":17", "n\":18446744073709551615"),
              std::pair("n\":17", "n\":9223372036854775807"), std::pair("n\":17", "n\":-1"),
              std::pair("s\":[]", "s\":{}")})
            CPPUNIT_ASSERT_MESSAGE(
                to, !platform::decodeLoadReport({200, {}, replaced(report, from, to)}, "r").isOk());
        const std::string deep = std::string(300'000, '[') + std::string(300'000, ']');
        CPPUNIT_ASSERT(!platform::decodeLoadReport({200, {}, deep}, "r").isOk());
        CPPUNIT_ASSERT(!platform::decodeLoadReport({200, {}, replaced(report, "[]", deep)}, "r"));
        CPPUNIT_ASSERT(!platform::decodePromptList({200, {}, "{\"held\":" + deep + '}'}, "r"));
    }

    void oddRunsOfEnginesAreNotFound()
    {
        for (const char *events : {"18446744073709551615", "-1", "1.5", "\"7\"", "[]"}) {
            const std::string report = R"({"num_waiting":1,"num_running":3,"kv_used":41,
                "kv_total":90,"runs":[["r1",4100,)"
                + std::string(events) + R"(,5],7,[],["r2",90,1,5]]})";
            const ServerProbeResult odd =
                platform::decodeLoadReport({200, {}, report}, "r1").value();
            CPPUNIT_ASSERT(!odd.hasRun);
            CPPUNIT_ASSERT(!odd.listsRuns);
            CPPUNIT_ASSERT(platform::decodeLoadReport({200, {}, report}, "r2").value().hasRun);
        }
    }

    void promptListIsDecoded()
    {
        const HttpResponse answer {
            200, {}, R"({"epoch":3,"next":9,"held":[["","91bd3f06",410,"m"],7,["",8]]})"};
        CPPUNIT_ASSERT(platform::decodePromptList(answer, "91bd3f06").value().hasPrompt);
        CPPUNIT_ASSERT(!platform::decodePromptList(answer, "e4402b7d").value().hasPrompt);
        CPPUNIT_ASSERT(!platform::decodePromptList({200, {}, "{}"}, "91bd3f06").isOk());
        CPPUNIT_ASSERT(!platform::decodePromptList({404, {}, ""}, "91bd3f06").isOk());
    }

    void otherResponsesAreNotAReport()
    {
        CPPUNIT_ASSERT(!platform::decodeLoadReport({404, {}, ""}, "r").isOk());
        CPPUNIT_ASSERT(!platform::decodeLoadReport({200, {}, "hello"}, "r").isOk());
        CPPUNIT_ASSERT(!platform::decodeLoadReport({200, {}, "{}"}, "r").isOk());
    }

    // Guards against using a server whose entry is not a valid one.
    void invalidEntriesAreRefused()
    {
        const std::string cases[] = {"\xff\xfe",
                                     "[]",
                                     "null",
                                     replaced(server, R"("service")", R"("serv")"),
                                     replaced(server, R"("10.0.0.9:8080")", "17"),
                                     replaced(server, R"("10.0.0.9:8080")", R"("nowhere")"),
                                     replaced(server, R"("ready")", R"("sleeping")"),
                                     replaced(server, "64", R"("many")")};
        for (const std::string &text : cases)
            CPPUNIT_ASSERT_MESSAGE(text, !platform::decodeServer("i-1", text).isOk());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentsTest);
