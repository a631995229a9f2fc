#include "foxtailring/gateway/RolloutWitnessCodec.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>

namespace foxtailring {

namespace {

using nlohmann::json;

// Far beyond what a gateway writes: bounds what another writer can make this process hold.
constexpr std::size_t maxBytes = 64 * 1024;
constexpr std::size_t maxServices = 64;
constexpr std::size_t maxRows = 512;
constexpr std::size_t maxNameLength = 200; ///< bytes
constexpr std::uint64_t maxCount = 1'000'000'000;

constexpr std::size_t serviceFields = 4; ///< version, order, moved, rows
constexpr std::size_t rowFields = 6;     ///< aspect, new, zone, failures, times, open

Error malformed(const char *what)
{
    return {ErrorCode::Malformed, std::string("roll-out witness: ") + what};
}

json encodeHistogram(const TimeHistogram &histogram)
{
    json list = json::array();
    for (const auto &[bucket, count] : histogram.buckets()) {
        list.push_back(bucket);
        list.push_back(count);
    }
    return list;
}

bool isCount(const json &value)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= maxCount;
}

bool isName(const json &value)
{
    return value.is_string() && value.get_ref<const std::string &>().size() <= maxNameLength;
}

std::optional<TimeHistogram> decodeHistogram(const json &list)
{
    if (!list.is_array() || list.size() % 2 != 0 || list.size() > 2 * TimeHistogram::bucketCount)
        return std::nullopt;
    TimeHistogram histogram;
    for (std::size_t i = 0; i < list.size(); i += 2) {
        if (!isCount(list[i]) || !isCount(list[i + 1]))
            return std::nullopt;
        const auto bucket = list[i].get<std::uint64_t>();
        if (bucket >= TimeHistogram::bucketCount)
            return std::nullopt;
        histogram.add(static_cast<int>(bucket), list[i + 1].get<std::uint64_t>());
    }
    return histogram;
}

bool decodeRow(const json &list, VersionWitness &witness)
{
    const bool isRow = list.is_array() && list.size() == rowFields && isName(list[0])
        && list[1].is_boolean() && isName(list[2]) && isCount(list[3]);
    if (!isRow)
        return false;
    auto times = decodeHistogram(list[4]);
    auto open = decodeHistogram(list[5]);
    if (!times || !open)
        return false;
    witness.rows[{list[0].get<std::string>(), list[1].get<bool>(), list[2].get<std::string>()}] = {
        list[3].get<std::uint64_t>(), std::move(*times), std::move(*open)};
    return true;
}

std::optional<VersionWitness> decodeWitness(const json &list)
{
    const bool isWitness = list.is_array() && list.size() == serviceFields && isName(list[0])
        && isName(list[1]) && list[2].is_boolean() && list[3].is_array()
        && list[3].size() <= maxRows;
    if (!isWitness)
        return std::nullopt;
    const auto order = StoreRevision::parse(list[1].get<std::string>());
    if (!order)
        return std::nullopt;
    VersionWitness witness;
    witness.version = list[0].get<std::string>();
    witness.order = *order;
    witness.isMoved = list[2].get<bool>();
    for (const json &row : list[3]) {
        if (!decodeRow(row, witness))
            return std::nullopt;
    }
    return witness;
}

} // namespace

std::string RolloutWitnessCodec::encode(const Rollouts::Witnesses &witnesses)
{
    json document = json::object();
    for (const auto &[service, witness] : witnesses) {
        json rows = json::array();
        for (const auto &[key, row] : witness.rows)
            rows.push_back({key.aspect, key.isNew, key.zone, row.failures,
                            encodeHistogram(row.times), encodeHistogram(row.open)});
        document[service] = {witness.version, witness.order.toString(), witness.isMoved,
                             std::move(rows)};
    }
    const std::vector<std::uint8_t> bytes = json::to_msgpack(document);
    return {bytes.begin(), bytes.end()};
}

Result<Rollouts::Witnesses> RolloutWitnessCodec::decode(std::string_view bytes)
{
    if (bytes.size() > maxBytes)
        return malformed("too long");
    const json document = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (!document.is_object() || document.size() > maxServices)
        return malformed("not an object of services");
    Rollouts::Witnesses witnesses;
    for (const auto &[service, value] : document.items()) {
        auto witness = decodeWitness(value);
        if (!witness || service.size() > maxNameLength)
            return malformed("entry of a service");
        witnesses.emplace(service, std::move(*witness));
    }
    return witnesses;
}

} // namespace foxtailring
