#include "EtcdJson.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace foxtailring::etcd {

namespace {

Error malformed(const std::string &reason)
{
    return {ErrorCode::Malformed, "invalid key-value service reply: " + reason};
}

// The gateway omits a member that is 0, so 0 counts as missing.
Result<std::int64_t> positiveInteger(const nlohmann::json &object, const char *member)
{
    auto number = integer(object, member);
    if (number && number.value() <= 0)
        return malformed(std::string("no ") + member);
    return number;
}

Result<std::int64_t> headerRevision(const nlohmann::json &reply)
{
    const auto header = reply.find("header");
    if (header == reply.end() || !header->is_object())
        return malformed("no header");
    return positiveInteger(*header, "revision");
}

Result<std::string> decodeBytes(const nlohmann::json &object, const char *member)
{
    const auto found = object.find(member);
    if (found == object.end())
        return std::string();
    if (!found->is_string())
        return malformed(std::string(member) + " is not a string");
    return fromBase64(found->get_ref<const std::string &>());
}

Result<KeyValue> keyValue(const nlohmann::json &object)
{
    if (!object.is_object())
        return malformed("a key-value pair is not an object");
    auto key = decodeBytes(object, "key");
    if (!key)
        return key.error();
    if (key.value().empty())
        return malformed("a key-value pair has no key");
    auto value = decodeBytes(object, "value");
    if (!value)
        return value.error();
    const auto revision = positiveInteger(object, "mod_revision");
    if (!revision)
        return revision.error();
    return KeyValue {std::move(key).value(), std::move(value).value(), revision.value()};
}

nlohmann::json revisionCondition(const std::string &key, std::int64_t expectedRevision)
{
    return {{"key", toBase64(key)},
            {"target", "MOD"},
            {"result", "EQUAL"},
            {"mod_revision", std::to_string(expectedRevision)}};
}

nlohmann::json transaction(const std::string &key, std::int64_t expectedRevision,
                           nlohmann::json success)
{
    return {{"compare", nlohmann::json::array({revisionCondition(key, expectedRevision)})},
            {"success", nlohmann::json::array({std::move(success)})},
            {"failure", nlohmann::json::array({{{"request_range", rangeRequest(key)}}})}};
}

} // namespace

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty() && prefix.back() == '\xff')
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0');
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

nlohmann::json rangeRequest(const std::string &key)
{
    return {{"key", toBase64(key)}};
}

nlohmann::json keyOnlyRequest(const std::string &key)
{
    auto request = rangeRequest(key);
    request["keys_only"] = true;
    return request;
}

nlohmann::json prefixRequest(const std::string &prefix)
{
    return {{"key", toBase64(prefix)}, {"range_end", toBase64(prefixEnd(prefix))}};
}

nlohmann::json compareAndSwapRequest(const std::string &key, const std::string &value,
                                     std::int64_t expectedRevision, std::int64_t lease)
{
    nlohmann::json put = {{"key", toBase64(key)}, {"value", toBase64(value)}};
    if (lease != 0)
        put["lease"] = std::to_string(lease);
    return transaction(key, expectedRevision, {{"request_put", std::move(put)}});
}

nlohmann::json compareAndDeleteRequest(const std::string &key, std::int64_t expectedRevision)
{
    return transaction(key, expectedRevision, {{"request_delete_range", rangeRequest(key)}});
}

nlohmann::json watchRequest(const std::string &prefix, std::int64_t revision)
{
    auto create = prefixRequest(prefix);
    create["start_revision"] = std::to_string(revision);
    return {{"create_request", std::move(create)}};
}

Result<std::int64_t> integer(const nlohmann::json &object, const char *member)
{
    if (!object.is_object())
        return malformed(std::string("not an object that holds ") + member);
    const auto found = object.find(member);
    if (found == object.end())
        return std::int64_t(0);
    if (found->is_number_integer())
        return found->get<std::int64_t>();
    if (!found->is_string())
        return malformed(std::string(member) + " is not an integer");
    const auto &text = found->get_ref<const std::string &>();
    std::int64_t value = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || stop != text.data() + text.size())
        return malformed(std::string(member) + " is not an integer");
    return value;
}

Result<std::int64_t> epoch(const nlohmann::json &reply)
{
    const auto header = reply.find("header");
    if (header == reply.end() || !header->is_object())
        return std::int64_t(0);
    const auto found = header->find("cluster_id");
    if (found == header->end())
        return std::int64_t(0);
    std::uint64_t id = 0;
    if (found->is_number_unsigned())
        return static_cast<std::int64_t>(found->get<std::uint64_t>());
    if (!found->is_string())
        return malformed("cluster_id is not an integer");
    const auto &text = found->get_ref<const std::string &>();
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), id);
    if (error != std::errc() || stop != text.data() + text.size())
        return malformed("cluster_id is not an integer");
    return static_cast<std::int64_t>(id);
}

Result<std::int64_t> leaseId(const nlohmann::json &reply)
{
    return positiveInteger(reply, "ID");
}

Result<RangeResult> rangeResult(const nlohmann::json &reply)
{
    const auto revision = headerRevision(reply);
    if (!revision)
        return revision.error();
    const auto epochOfReply = epoch(reply);
    if (!epochOfReply)
        return epochOfReply.error();
    RangeResult result;
    result.revision = revision.value();
    result.epoch = epochOfReply.value();
    for (const auto &item : reply.value("kvs", nlohmann::json::array())) {
        auto pair = keyValue(item);
        if (!pair)
            return pair.error();
        result.pairs.push_back(std::move(pair).value());
    }
    return result;
}

Result<WriteResult> writeResult(const nlohmann::json &reply)
{
    const auto revision = headerRevision(reply);
    if (!revision)
        return revision.error();
    const auto epochOfReply = epoch(reply);
    if (!epochOfReply)
        return epochOfReply.error();
    WriteResult result;
    result.revision = revision.value();
    result.epoch = epochOfReply.value();
    const auto succeeded = reply.find("succeeded");
    if (succeeded != reply.end() && !succeeded->is_boolean())
        return malformed("succeeded is not a boolean");
    result.applied = succeeded != reply.end() && succeeded->get<bool>();
    if (result.applied)
        return result;
    const auto responses = reply.value("responses", nlohmann::json::array());
    if (!responses.is_array() || responses.size() != 1 || !responses[0].is_object())
        return malformed("a failed transaction does not hold the current key");
    auto range = responses[0].value("response_range", nlohmann::json::object());
    range["header"] = reply["header"];
    const auto current = rangeResult(range);
    if (!current)
        return current.error();
    if (!current.value().pairs.empty())
        result.current = current.value().pairs.front();
    return result;
}

Result<std::vector<WatchEvent>> watchEvents(const nlohmann::json &result)
{
    std::vector<WatchEvent> events;
    for (const auto &item : result.value("events", nlohmann::json::array())) {
        if (!item.is_object() || !item.contains("kv"))
            return malformed("an event has no key-value pair");
        auto pair = keyValue(item["kv"]);
        if (!pair)
            return pair.error();
        const bool deleted = item.value("type", nlohmann::json()) == "DELETE";
        events.push_back(WatchEvent {deleted, std::move(pair).value()});
    }
    return events;
}

} // namespace foxtailring::etcd
