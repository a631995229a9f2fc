#include "RateLimitReportCodec.h"

#include "foxtailring/base/ParseJson.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using nlohmann::json;

constexpr double maxRate = 1e6; // requests per second
// More than the servers of the target size; bounds what another writer can make this process hold.
constexpr std::size_t maxEntries = 20'000;
constexpr std::size_t maxIdLength = 200; ///< bytes

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
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<RateLimitReport> RateLimitReportCodec::decode(std::string_view text)
{
    const json document = parseJson(text);
    if (!document.is_object())
        return Error {ErrorCode::Malformed, "rate limit report: not an object"};
    if (document.size() > maxEntries)
        return Error {ErrorCode::Malformed, "rate limit report: too many entries"};
    RateLimitReport report;
    for (const auto &[serverId, value] : document.items()) {
        if (serverId.size() > maxIdLength)
            return Error {ErrorCode::Malformed, "rate limit report: an id is too long"};
        if (!isEntry(value))
            return Error {ErrorCode::Malformed, "rate limit report: entry of " + serverId};
        report.entries.push_back({serverId, value[0].get<double>(), value[1].get<double>()});
    }
    return report;
}

} // namespace foxtailring
