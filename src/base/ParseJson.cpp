#include "foxtailring/base/ParseJson.h"

#include <nlohmann/json.hpp>

namespace foxtailring {

namespace {

using nlohmann::json;

// The documents that the system reads have at most six levels. Copying, comparing and writing a
// value takes stack for each level: a copy of 500,000 levels ended the process. Such a value took
// 38 MB.
constexpr int maxDepth = 64;

} // namespace

json parseJson(std::string_view text)
{
    bool isTooDeep = false;
    // What this returns false for is not stored, and neither is anything in it.
    const auto keep = [&isTooDeep](int depth, json::parse_event_t event, const json &) {
        const bool isStart =
            event == json::parse_event_t::object_start || event == json::parse_event_t::array_start;
        isTooDeep = isTooDeep || (isStart && depth >= maxDepth);
        return !isTooDeep;
    };
    json document = json::parse(text, keep, false);
    return isTooDeep ? json(json::value_t::discarded) : document;
}

} // namespace foxtailring
