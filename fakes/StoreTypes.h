#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace foxtailring::fakes {

/// \brief A stored key with its revisions, as etcd's mvccpb.KeyValue.
struct KeyValue
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0; ///< 1 after creation; 0: the key does not exist
    std::int64_t lease = 0;   ///< 0: none
};

/// \brief Keys from \a key up to but without \a end. An empty end means the key alone, an end of
/// one zero byte means all keys from \a key on.
struct KeyRange
{
    std::string key;
    std::string end;

    bool contains(const std::string &other) const;
};

/// \brief A change of one key.
struct StoreEvent
{
    bool deleted = false;
    KeyValue current; ///< of a deletion only key and modRevision are set
};

/// \brief Condition of a transaction on one key.
struct Compare
{
    enum class Target { Version, Create, Mod, Value };
    enum class Relation { Equal, Greater, Less, NotEqual };

    std::string key;
    Target target = Target::Mod;
    Relation relation = Relation::Equal;
    std::int64_t number = 0; ///< of the targets Version, Create and Mod
    std::string value;       ///< of the target Value
};

struct PutRequest
{
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

struct RangeRequest
{
    KeyRange range;
    std::int64_t limit = 0; ///< 0: no limit
    bool keysOnly = false;
    bool countOnly = false;
};

struct DeleteRequest
{
    KeyRange range;
};

using StoreOperation = std::variant<PutRequest, RangeRequest, DeleteRequest>;

struct PutReply
{
};

struct RangeReply
{
    std::vector<KeyValue> keyValues;
    std::int64_t count = 0; ///< keys in the range, whatever the limit
    bool more = false;
};

struct DeleteReply
{
    std::int64_t deleted = 0;
};

using StoreReply = std::variant<PutReply, RangeReply, DeleteReply>;

struct TxnRequest
{
    std::vector<Compare> compares;
    std::vector<StoreOperation> success;
    std::vector<StoreOperation> failure;
};

struct TxnReply
{
    bool succeeded = false;
    std::int64_t revision = 0; ///< of the store after the transaction
    std::vector<StoreReply> replies;
};

} // namespace foxtailring::fakes
