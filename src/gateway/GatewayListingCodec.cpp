#include "GatewayListingCodec.h"

#include "foxtailring/decisions/limits/IdleConnectionDivision.h"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace foxtailring {

namespace {

using nlohmann::json;

constexpr const char *demandField = "demand";
constexpr const char *settledEpochField = "settledEpoch";

// Numbers beyond those of int64_t become negative.
std::optional<std::int64_t> readInteger(std::string_view text, const char *field)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    const auto found = document.find(field);
    if (found == document.end() || !found->is_number_integer())
        return std::nullopt;
    return found->get<std::int64_t>();
}

} // namespace

std::string GatewayListingCodec::encode(std::optional<int> demand,
                                        std::optional<std::int64_t> settledEpoch)
{
    json document = json::object();
    if (demand)
        document[demandField] = *demand;
    if (settledEpoch)
        document[settledEpochField] = *settledEpoch;
    return document.empty() ? std::string() : document.dump();
}

std::optional<int> GatewayListingCodec::decode(std::string_view text)
{
    const auto demand = readInteger(text, demandField);
    if (!demand || *demand < 0 || *demand > IdleConnectionDivision::maxDemand)
        return std::nullopt;
    return static_cast<int>(*demand);
}

std::optional<std::int64_t> GatewayListingCodec::decodeSettledEpoch(std::string_view text)
{
    const auto epoch = readInteger(text, settledEpochField);
    return epoch && *epoch > 0 ? epoch : std::nullopt;
}

} // namespace foxtailring
