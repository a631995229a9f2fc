#include "SpeedReportWatch.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/store/KeyValue.h"
#include "foxtailring/store/WatchEvent.h"

#include "GatewayParts.h"
#include "SpeedReportCodec.h"

#include <functional>
#include <set>

namespace foxtailring {

namespace {

std::string_view reporterOf(std::string_view key)
{
    return key.substr(SpeedReportCodec::keyPrefix.size());
}

} // namespace

SpeedReportWatch::SpeedReportWatch(GatewayParts &parts)
    : m_parts(parts)
{
}

bool SpeedReportWatch::isKey(std::string_view key)
{
    return key.starts_with(SpeedReportCodec::keyPrefix);
}

// Reports are read whether or not this gateway writes any: it may learn later that it places runs
// by speed.
void SpeedReportWatch::applySnapshot(std::span<const KeyValue> pairs)
{
    std::set<std::string_view, std::less<>> listed;
    for (const KeyValue &pair : pairs) {
        if (!isKey(pair.key))
            continue;
        listed.insert(reporterOf(pair.key));
        apply(pair);
    }
    EngineSpeeds &speeds = m_parts.servers.speeds();
    for (const std::string &reporter : speeds.reporters()) {
        if (!listed.contains(reporter))
            speeds.forgetReporter(reporter);
    }
}

void SpeedReportWatch::applyEvents(std::span<const WatchEvent> events)
{
    for (const WatchEvent &event : events) {
        if (!isKey(event.pair.key))
            continue;
        if (event.deleted)
            m_parts.servers.speeds().forgetReporter(reporterOf(event.pair.key));
        else
            apply(event.pair);
    }
}

// What a gateway told before is dropped with a report that cannot be read: it may be wrong by now.
void SpeedReportWatch::apply(const KeyValue &pair)
{
    if (isOwn(pair))
        return;
    const std::string gatewayId(reporterOf(pair.key));
    EngineSpeeds &speeds = m_parts.servers.speeds();
    const auto report = SpeedReportCodec::decode(pair.value);
    if (report)
        return speeds.recordReport(gatewayId, report.value().readings);
    m_parts.metrics.add("gateway_speed_reports_total{outcome=\"unreadable\"}");
    StructuredLog::warn("speedReportUnreadable",
                        {{"gateway", gatewayId}, {"message", report.error().message}});
    speeds.forgetReporter(gatewayId);
}

bool SpeedReportWatch::isOwn(const KeyValue &pair) const
{
    return reporterOf(pair.key) == m_parts.settings.nodeId;
}

} // namespace foxtailring
