#pragma once

#include "foxtailring/base/Error.h"
#include "KeyValueStore.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace foxtailring::fakes {

// JSON of the etcd v3 gateway: 64-bit integers are strings, bytes are base64, and members with
// default values are left out of answers. Parsers accept snake_case and camelCase names and throw
// std::exception on malformed members.

/// \brief Integer member \a name, given as a number or as a string; 0 when it is missing.
std::int64_t integerMember(const nlohmann::json &object, const std::string &name);

KeyRange parseKeyRange(const nlohmann::json &request);
PutRequest parsePut(const nlohmann::json &request);
RangeRequest parseRange(const nlohmann::json &request);
TxnRequest parseTxn(const nlohmann::json &request);

nlohmann::json headerJson(std::int64_t revision);
/// \brief Answer of a call that is not a transaction.
nlohmann::json replyJson(const StoreReply &reply, std::int64_t revision);
nlohmann::json txnJson(const TxnReply &reply);
nlohmann::json eventJson(const StoreEvent &event);

/// \brief An error with its gRPC code, and the HTTP status that the gateway gives it.
nlohmann::json errorJson(const Error &error);
int errorStatus(const Error &error);

} // namespace foxtailring::fakes
