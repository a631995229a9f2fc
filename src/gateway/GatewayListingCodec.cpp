#include "GatewayListingCodec.h"

#include "foxtailring/decisions/IdleConnectionDivision.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace foxtailring {

namespace {

using nlohmann::json;

constexpr const char *demandField = "demand";

} // namespace

std::string GatewayListingCodec::encode(std::optional<int> demand)
{
    return demand ? json {{demandField, *demand}}.dump() : std::string();
}

std::optional<int> GatewayListingCodec::decode(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    const auto found = document.find(demandField);
    if (found == document.end() || !found->is_number_integer())
        return std::nullopt;
    const auto demand = found->get<std::int64_t>();
    if (demand < 0 || demand > IdleConnectionDivision::maxDemand)
        return std::nullopt;
    return static_cast<int>(demand);
}

} // namespace foxtailring
