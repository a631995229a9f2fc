#include "GatewayCodec.h"

#include <cctype>
#include <openssl/evp.h>
#include <stdexcept>

namespace foxtailring::fakes {

namespace {

using nlohmann::json;

std::string encodeBase64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string decodeBase64(const std::string &text)
{
    if (text.empty())
        return {};
    std::string bytes(text.size(), '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0)
        throw std::invalid_argument("illegal base64 data");
    // EVP_DecodeBlock counts padding as zero bytes.
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

std::string camelCase(const std::string &name)
{
    std::string out;
    bool upper = false;
    for (const char letter : name) {
        if (letter != '_')
            out += upper ? static_cast<char>(std::toupper(letter)) : letter;
        upper = letter == '_';
    }
    return out;
}

const json *member(const json &object, const std::string &name)
{
    auto found = object.find(name);
    if (found == object.end())
        found = object.find(camelCase(name));
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

std::string bytesMember(const json &object, const std::string &name)
{
    const json *found = member(object, name);
    return found == nullptr ? std::string() : decodeBase64(found->get<std::string>());
}

bool flagMember(const json &object, const std::string &name)
{
    const json *found = member(object, name);
    return found != nullptr && found->get<bool>();
}

Compare::Target parseTarget(const std::string &name)
{
    if (name == "VERSION")
        return Compare::Target::Version;
    if (name == "CREATE")
        return Compare::Target::Create;
    if (name == "MOD")
        return Compare::Target::Mod;
    if (name == "VALUE")
        return Compare::Target::Value;
    throw std::invalid_argument("unknown compare target " + name);
}

Compare::Relation parseRelation(const std::string &name)
{
    if (name == "EQUAL")
        return Compare::Relation::Equal;
    if (name == "GREATER")
        return Compare::Relation::Greater;
    if (name == "LESS")
        return Compare::Relation::Less;
    if (name == "NOT_EQUAL")
        return Compare::Relation::NotEqual;
    throw std::invalid_argument("unknown compare result " + name);
}

const char *numberName(Compare::Target target)
{
    if (target == Compare::Target::Version)
        return "version";
    return target == Compare::Target::Create ? "create_revision" : "mod_revision";
}

// The first values of both enumerations are the defaults that clients may leave out.
Compare parseCompare(const json &request)
{
    Compare compare;
    compare.key = bytesMember(request, "key");
    compare.target = parseTarget(request.value("target", "VERSION"));
    compare.relation = parseRelation(request.value("result", "EQUAL"));
    if (compare.target == Compare::Target::Value)
        compare.value = bytesMember(request, "value");
    else
        compare.number = integerMember(request, numberName(compare.target));
    return compare;
}

StoreOperation parseOperation(const json &request)
{
    if (const json *put = member(request, "request_put"))
        return parsePut(*put);
    if (const json *range = member(request, "request_range"))
        return parseRange(*range);
    if (const json *erase = member(request, "request_delete_range"))
        return DeleteRequest {parseKeyRange(*erase)};
    throw std::invalid_argument("unknown operation in transaction");
}

std::vector<StoreOperation> parseOperations(const json &request, const char *name)
{
    std::vector<StoreOperation> operations;
    for (const json &operation : request.value(name, json::array()))
        operations.push_back(parseOperation(operation));
    return operations;
}

void setInteger(json &object, const char *name, std::int64_t value)
{
    if (value != 0)
        object[name] = std::to_string(value);
}

json keyValueJson(const KeyValue &keyValue)
{
    json object = {{"key", encodeBase64(keyValue.key)}};
    if (!keyValue.value.empty())
        object["value"] = encodeBase64(keyValue.value);
    setInteger(object, "create_revision", keyValue.createRevision);
    setInteger(object, "mod_revision", keyValue.modRevision);
    setInteger(object, "version", keyValue.version);
    setInteger(object, "lease", keyValue.lease);
    return object;
}

void setRange(json &object, const RangeReply &reply)
{
    for (const KeyValue &keyValue : reply.keyValues)
        object["kvs"].push_back(keyValueJson(keyValue));
    if (reply.more)
        object["more"] = true;
    setInteger(object, "count", reply.count);
}

const char *replyName(const StoreReply &reply)
{
    if (std::holds_alternative<PutReply>(reply))
        return "response_put";
    return std::holds_alternative<RangeReply>(reply) ? "response_range" : "response_delete_range";
}

} // namespace

std::int64_t integerMember(const json &object, const std::string &name)
{
    const json *found = member(object, name);
    if (found == nullptr)
        return 0;
    return found->is_string() ? std::stoll(found->get<std::string>()) : found->get<std::int64_t>();
}

KeyRange parseKeyRange(const json &request)
{
    return {bytesMember(request, "key"), bytesMember(request, "range_end")};
}

PutRequest parsePut(const json &request)
{
    return {bytesMember(request, "key"), bytesMember(request, "value"),
            integerMember(request, "lease")};
}

RangeRequest parseRange(const json &request)
{
    return {parseKeyRange(request), integerMember(request, "limit"),
            flagMember(request, "keys_only"), flagMember(request, "count_only")};
}

TxnRequest parseTxn(const json &request)
{
    TxnRequest txn;
    for (const json &compare : request.value("compare", json::array()))
        txn.compares.push_back(parseCompare(compare));
    txn.success = parseOperations(request, "success");
    txn.failure = parseOperations(request, "failure");
    return txn;
}

json headerJson(std::int64_t revision)
{
    return {{"cluster_id", "1"},
            {"member_id", "1"},
            {"raft_term", "1"},
            {"revision", std::to_string(revision)}};
}

json replyJson(const StoreReply &reply, std::int64_t revision)
{
    json object = {{"header", headerJson(revision)}};
    if (const auto *range = std::get_if<RangeReply>(&reply))
        setRange(object, *range);
    else if (const auto *erased = std::get_if<DeleteReply>(&reply))
        setInteger(object, "deleted", erased->deleted);
    return object;
}

json txnJson(const TxnReply &reply)
{
    json object = {{"header", headerJson(reply.revision)}};
    if (reply.succeeded)
        object["succeeded"] = true;
    for (const StoreReply &one : reply.replies)
        object["responses"].push_back({{replyName(one), replyJson(one, reply.revision)}});
    return object;
}

json eventJson(const StoreEvent &event)
{
    json object = {{"kv", keyValueJson(event.current)}};
    if (event.deleted)
        object["type"] = "DELETE";
    return object;
}

json errorJson(const Error &error)
{
    const int code = error.code == ErrorCode::NotFound ? 5
        : error.code == ErrorCode::Conflict            ? 9
                                                       : 3;
    const std::string message = "etcdserver: " + error.message;
    return {{"error", message}, {"message", message}, {"code", code}};
}

int errorStatus(const Error &error)
{
    return error.code == ErrorCode::NotFound ? 404 : 400;
}

} // namespace foxtailring::fakes
