#include "SpeedReportCodec.h"

#include "foxtailring/base/ParseJson.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using nlohmann::json;
using std::chrono::microseconds;

// Twice what a gateway writes: bounds what another writer can make this process hold.
constexpr std::size_t maxReportedEngines = 3000;
constexpr std::size_t maxEngineNameLength = 200;      ///< bytes
constexpr std::int64_t maxIntervalUs = 3'600'000'000; ///< an hour
constexpr std::int64_t maxReportedRuns = 1000;

bool isCount(const json &value, std::int64_t max)
{
    return value.is_number_integer() && value.get<std::int64_t>() >= 1
        && value.get<std::int64_t>() <= max;
}

bool isReading(const json &value)
{
    return value.is_array() && value.size() == 2 && isCount(value[0], maxIntervalUs)
        && isCount(value[1], maxReportedRuns);
}

// Shorter than the clock's resolution is taken as the shortest that a report can tell.
std::int64_t intervalUs(Duration interval)
{
    const std::int64_t us = std::chrono::duration_cast<microseconds>(interval).count();
    return std::clamp<std::int64_t>(us, 1, maxIntervalUs);
}

Result<SpeedReading> decodeReading(std::string_view service, const std::string &address,
                                   const json &value)
{
    if (address.size() > maxEngineNameLength)
        return Error {ErrorCode::Malformed, "speed report: an address is too long"};
    if (!isReading(value))
        return Error {ErrorCode::Malformed, "speed report: entry of " + address};
    return SpeedReading {std::string(service), address, microseconds(value[0].get<std::int64_t>()),
                         value[1].get<std::uint32_t>()};
}

} // namespace

std::string SpeedReportCodec::encode(const SpeedReport &report)
{
    json document = json::object();
    for (const SpeedReading &reading : report.readings)
        document[reading.service][reading.address] = {intervalUs(reading.eventInterval),
                                                      reading.runs};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<SpeedReport> SpeedReportCodec::decode(std::string_view text)
{
    const json document = parseJson(text);
    if (!document.is_object())
        return Error {ErrorCode::Malformed, "speed report: not an object"};
    SpeedReport report;
    for (const auto &[service, engines] : document.items()) {
        if (service.size() > maxEngineNameLength || !engines.is_object())
            return Error {ErrorCode::Malformed, "speed report: not a service with its engines"};
        for (const auto &[address, value] : engines.items()) {
            auto reading = decodeReading(service, address, value);
            if (!reading)
                return reading.error();
            if (report.readings.size() == maxReportedEngines)
                return Error {ErrorCode::Malformed, "speed report: too many entries"};
            report.readings.push_back(std::move(reading).value());
        }
    }
    return report;
}

} // namespace foxtailring
