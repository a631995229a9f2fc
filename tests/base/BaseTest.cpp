#include "foxtailring/base/MetricRegistry.h"
#include "foxtailring/base/SettingsReader.h"
#include "foxtailring/base/TraceContext.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace foxtailring;

class BaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BaseTest);
    CPPUNIT_TEST(metricsWritePrometheusText);
    CPPUNIT_TEST(removedGaugeIsNotShown);
    CPPUNIT_TEST(traceparentRoundTrips);
    CPPUNIT_TEST(malformedTraceparentIsRejected);
    CPPUNIT_TEST(settingsReportEveryError);
    CPPUNIT_TEST(validSettingsPass);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against label sets that a Prometheus server rejects.
    void metricsWritePrometheusText()
    {
        MetricRegistry metrics;
        metrics.add("requests_total{outcome=\"done\"}");
        metrics.add("requests_total{outcome=\"done\"}", 2);
        metrics.observeSeconds("wait_seconds{zone=\"a\"}", 0.003);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3),
                             metrics.counterValue("requests_total{outcome=\"done\"}"));
        const std::string text = metrics.prometheusText();
        CPPUNIT_ASSERT(text.find("# TYPE requests_total counter") != std::string::npos);
        CPPUNIT_ASSERT(text.find("wait_seconds_bucket{zone=\"a\",le=\"0.005\"} 1")
                       != std::string::npos);
        CPPUNIT_ASSERT(text.find("wait_seconds_count{zone=\"a\"} 1") != std::string::npos);
    }

    // Guards against a process that collects a series for each server it ever met.
    void removedGaugeIsNotShown()
    {
        MetricRegistry metrics;
        metrics.setGauge("limit{server=\"a\"}", 8);
        CPPUNIT_ASSERT(metrics.prometheusText().find("limit") != std::string::npos);
        metrics.removeGauge("limit{server=\"a\"}");
        metrics.removeGauge("limit{server=\"b\"}");
        CPPUNIT_ASSERT(metrics.prometheusText().find("limit") == std::string::npos);
    }

    void traceparentRoundTrips()
    {
        RandomSource random(1);
        const TraceContext trace = TraceContext::startTrace(random);
        const auto parsed = TraceContext::parse(trace.toHeader());
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT_EQUAL(trace.traceId, parsed->traceId);
        CPPUNIT_ASSERT(trace.startSpan(random).spanId != trace.spanId);
    }

    // Guards against forwarding ids that other tracing systems reject.
    void malformedTraceparentIsRejected()
    {
        CPPUNIT_ASSERT(!TraceContext::parse(""));
        CPPUNIT_ASSERT(!TraceContext::parse("00-abc-def-01"));
        const std::string zeros = "00-" + std::string(32, '0') + '-' + std::string(16, '1') + "-01";
        CPPUNIT_ASSERT(!TraceContext::parse(zeros));
    }

    // Guards against settings errors that are reported one at a time or without file, line and key.
    void settingsReportEveryError()
    {
        auto reader =
            SettingsReader::fromText("threads: 900\nlisten: nowhere\ntypo: 1\n", "e.yaml");
        CPPUNIT_ASSERT(reader.isOk());
        reader.value().integer("threads", 1, 64);
        reader.value().address("listen");
        reader.value().text("zone");
        const auto done = reader.value().finish();
        CPPUNIT_ASSERT(!done.isOk());
        const std::string message = done.error().message;
        CPPUNIT_ASSERT(message.find("e.yaml:1: threads: \"900\"; allowed: an integer from 1 to 64")
                       != std::string::npos);
        CPPUNIT_ASSERT(message.find("e.yaml:2: listen: \"nowhere\"") != std::string::npos);
        CPPUNIT_ASSERT(message.find("zone: missing") != std::string::npos);
        CPPUNIT_ASSERT(message.find("e.yaml:3: typo") != std::string::npos);
    }

    void validSettingsPass()
    {
        auto reader = SettingsReader::fromText("node:\n  id: a\nports: [x, y]\n", "e.yaml");
        CPPUNIT_ASSERT(reader.isOk());
        auto node = reader.value().section("node");
        CPPUNIT_ASSERT_EQUAL(std::string("a"), node.text("id"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), reader.value().textList("ports").size());
        CPPUNIT_ASSERT(node.finish().isOk());
        CPPUNIT_ASSERT(reader.value().finish().isOk());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);
