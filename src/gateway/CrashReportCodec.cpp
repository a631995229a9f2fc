#include "CrashReportCodec.h"

#include "foxtailring/base/ParseJson.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using nlohmann::json;

// Twice what a gateway writes: bounds what another writer can make this process do.
constexpr std::size_t maxCrashes = 32;
constexpr std::size_t maxSuspects = 64; ///< of a crash
constexpr std::size_t maxNames = 512;
constexpr std::size_t maxNameLength = 200; ///< bytes
// A century; the sum of two times of a report does not overflow.
constexpr std::int64_t maxTimeMs = 4'000'000'000'000;

bool isName(const json &value)
{
    return value.is_string() && value.get_ref<const std::string &>().size() <= maxNameLength;
}

bool isTime(const json &value)
{
    return value.is_number_integer() && value.get<std::int64_t>() >= 0
        && value.get<std::int64_t>() <= maxTimeMs;
}

bool isList(const json &document, const char *name, std::size_t maxSize)
{
    return document.contains(name) && document[name].is_array() && document[name].size() <= maxSize;
}

bool isCrash(const json &value)
{
    return value.is_array() && value.size() == 3 && isName(value[0]) && isTime(value[1])
        && value[2].is_array() && value[2].size() <= maxSuspects
        && std::all_of(value[2].begin(), value[2].end(), isName);
}

bool isStart(const json &value)
{
    return value.is_array() && value.size() == 2 && isName(value[0]) && isTime(value[1]);
}

bool isQuarantine(const json &value)
{
    return value.is_array() && value.size() == 3 && isName(value[0]) && isTime(value[1])
        && isTime(value[2]);
}

bool isDating(const json &value)
{
    return value.is_array() && value.size() == 2 && isTime(value[0]) && isTime(value[1]);
}

bool isServiceOfCrash(const json &value)
{
    return value.is_array() && value.size() == 2 && isName(value[0]) && isName(value[1]);
}

bool isIndexes(const json &value)
{
    const auto isIndex = [](const json &index) {
        return index.is_number_unsigned() && index.get<std::uint64_t>() < maxSuspects;
    };
    return value.is_array() && value.size() <= maxSuspects
        && std::all_of(value.begin(), value.end(), isIndex);
}

bool isOneLoss(const json &value)
{
    return value.is_array() && value.size() == 2 && isName(value[0]) && isIndexes(value[1]);
}

bool areRequestsOfCrash(const json &value)
{
    return value.is_array() && value.size() == 2 && isName(value[0]) && value[1].is_array()
        && value[1].size() <= maxSuspects
        && std::all_of(value[1].begin(), value[1].end(), isIndexes);
}

bool isReport(const json &document)
{
    const auto all = [&](const char *name, bool (*isEntry)(const json &)) {
        return std::all_of(document[name].begin(), document[name].end(), isEntry);
    };
    const auto isListOfCrashes = [&](const char *name, bool (*isEntry)(const json &)) {
        return !document.contains(name)
            || (isList(document, name, maxCrashes) && all(name, isEntry));
    };
    return document.is_object() && isList(document, "crashes", maxCrashes)
        && isList(document, "starts", maxNames) && isList(document, "quarantines", maxNames)
        && all("crashes", isCrash) && all("starts", isStart) && all("quarantines", isQuarantine)
        && (!document.contains("dating") || isDating(document["dating"]))
        && isListOfCrashes("zoneCrashes", isName) && isListOfCrashes("services", isServiceOfCrash)
        && isListOfCrashes("requests", areRequestsOfCrash) && isListOfCrashes("oneLoss", isOneLoss);
}

// The value that a list gives for a crash, or an empty one.
template <typename Value>
Value valueOf(const json &document, const char *list, const json &incarnation)
{
    const auto entries = document.find(list);
    if (entries == document.end())
        return {};
    for (const json &entry : *entries) {
        if (entry[0] == incarnation)
            return entry[1].get<Value>();
    }
    return {};
}

bool isZoneCrash(const json &document, const json &incarnation)
{
    const auto found = document.find("zoneCrashes");
    return found != document.end()
        && std::find(found->begin(), found->end(), incarnation) != found->end();
}

CrashReport::Crash decodeCrash(const json &document, const json &value)
{
    CrashReport::Crash crash;
    crash.incarnation = value[0].get<std::string>();
    crash.atMs = value[1].get<std::int64_t>();
    crash.suspects = value[2].get<std::vector<std::string>>();
    crash.isZoneFailure = isZoneCrash(document, value[0]);
    crash.service = valueOf<std::string>(document, "services", value[0]);
    crash.requests = valueOf<std::vector<CrashReport::Indexes>>(document, "requests", value[0]);
    crash.oneLossSuspects = valueOf<CrashReport::Indexes>(document, "oneLoss", value[0]);
    return crash;
}

} // namespace

std::string CrashReportCodec::encode(const CrashReport &report)
{
    json document = {
        {"crashes", json::array()}, {"starts", json::array()}, {"quarantines", json::array()}};
    for (const auto &crash : report.crashes)
        document["crashes"].push_back({crash.incarnation, crash.atMs, crash.suspects});
    // Lists of their own, which earlier versions ignore.
    for (const auto &crash : report.crashes) {
        if (crash.isZoneFailure)
            document["zoneCrashes"].push_back(crash.incarnation);
        if (!crash.service.empty())
            document["services"].push_back({crash.incarnation, crash.service});
        if (!crash.requests.empty())
            document["requests"].push_back({crash.incarnation, crash.requests});
        if (!crash.oneLossSuspects.empty())
            document["oneLoss"].push_back({crash.incarnation, crash.oneLossSuspects});
    }
    for (const auto &start : report.starts)
        document["starts"].push_back({start.suspect, start.atMs});
    for (const auto &quarantine : report.quarantines)
        document["quarantines"].push_back(
            {quarantine.suspect, quarantine.sinceMs, quarantine.untilMs});
    if (report.dating)
        document["dating"] = {report.dating->clockId, report.dating->sentMs};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<CrashReport> CrashReportCodec::decode(std::string_view text)
{
    const json document = parseJson(text);
    if (!isReport(document))
        return Error {ErrorCode::Malformed, "not a report of crashes"};
    CrashReport report;
    for (const json &crash : document["crashes"])
        report.crashes.push_back(decodeCrash(document, crash));
    for (const json &start : document["starts"])
        report.starts.push_back({start[0].get<std::string>(), start[1].get<std::int64_t>()});
    for (const json &quarantine : document["quarantines"])
        report.quarantines.push_back({quarantine[0].get<std::string>(),
                                      quarantine[1].get<std::int64_t>(),
                                      quarantine[2].get<std::int64_t>()});
    if (document.contains("dating"))
        report.dating = {document["dating"][0].get<std::int64_t>(),
                         document["dating"][1].get<std::int64_t>()};
    return report;
}

} // namespace foxtailring
