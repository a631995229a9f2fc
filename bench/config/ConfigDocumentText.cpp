#include "ConfigDocumentText.h"

#include "foxtailring/store/Base64.h"

#include <nlohmann/json.hpp>

namespace foxtailring::bench {

namespace {

using nlohmann::json;

constexpr std::size_t routesOfService = 20;
constexpr std::size_t accountCount = 10;

json route(std::size_t index)
{
    const std::string number = std::to_string(index);
    return {{"name", "route-" + number},
            {"host", "host-" + std::to_string(index % 8) + ".example"},
            {"path_prefix", "/service/" + number + "/"},
            {"kind", index % 3 == 0 ? "streaming" : "idempotent"},
            {"timeout_ms", 20'000 + index},
            {"target_latency_ms", 4500},
            {"priority", index % 4},
            {"service", "service-" + std::to_string(index / routesOfService)},
            {"max_attempts", 3},
            {"public", false},
            {"can_resume", index % 3 == 0},
            {"gap_target_ms", 700}};
}

} // namespace

std::string configDocumentText(std::size_t routes)
{
    json document = {{"version", 7},
                     {"limits", {{"max_header_bytes", 16'384}, {"idle_timeout_ms", 15'000}}}};
    for (std::size_t i = 0; i < routes; ++i)
        document["routes"].push_back(route(i));
    for (std::size_t i = 0; i * routesOfService < routes; ++i)
        document["services"].push_back(
            {{"name", "service-" + std::to_string(i)}, {"max_conns", 110}});
    for (std::size_t i = 0; i < accountCount; ++i)
        document["tenants"].push_back(
            {{"name", "account-" + std::to_string(i)}, {"api_keys", {"key-" + std::to_string(i)}}});
    return document.dump();
}

std::string changesAnswerText(const std::string &document)
{
    const json answer = {
        {"events", {{{"key", "config"}, {"value", toBase64(document)}, {"rev", 12}}}},
        {"as_of", 12}};
    return answer.dump();
}

} // namespace foxtailring::bench
