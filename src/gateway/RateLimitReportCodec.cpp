#include "RateLimitReportCodec.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using nlohmann::json;

constexpr double maxRate = 1e6; // requests per second

bool isRate(const json &value)
{
    return value.is_number() && value.get<double>() >= 0 && value.get<double>() <= maxRate;
}

bool isEntry(const json &value)
{
    return value.is_array() && value.size() == 2 && isRate(value[0]) && isRate(value[1]);
}

} // namespace

std::string RateLimitReportCodec::encode(const RateLimitReport &report)
{
    json document = json::object();
    for (const RateLimitReport::Entry &entry : report.entries)
        document[entry.serverId] = {entry.limit, entry.demand};
    return document.dump();
}

Result<RateLimitReport> RateLimitReportCodec::decode(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return Error {ErrorCode::Malformed, "rate limit report: not an object"};
    RateLimitReport report;
    for (const auto &[serverId, value] : document.items()) {
        if (!isEntry(value))
            return Error {ErrorCode::Malformed, "rate limit report: entry of " + serverId};
        report.entries.push_back({serverId, value[0].get<double>(), value[1].get<double>()});
    }
    return report;
}

} // namespace foxtailring
