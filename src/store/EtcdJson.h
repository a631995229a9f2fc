#pragma once

#include "foxtailring/base/Result.h"
#include "foxtailring/store/Base64.h"
#include "foxtailring/store/RangeResult.h"
#include "foxtailring/store/WatchEvent.h"
#include "foxtailring/store/WriteResult.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Encodes requests to and decodes replies of the etcd v3 JSON gateway.
///
/// The gateway writes 64-bit integers as strings and bytes as base64, and omits members that have
/// their default value.
namespace etcd {

/// \brief Exclusive end of the range of keys with \a prefix; a zero byte, which etcd takes for "no
/// end", when \a prefix holds only 0xff bytes.
std::string prefixEnd(std::string prefix);

nlohmann::json rangeRequest(const std::string &key);
/// \brief Range request whose reply has no value.
nlohmann::json keyOnlyRequest(const std::string &key);
nlohmann::json prefixRequest(const std::string &prefix);
nlohmann::json compareAndSwapRequest(const std::string &key, const std::string &value,
                                     std::int64_t expectedRevision, std::int64_t lease);
nlohmann::json compareAndDeleteRequest(const std::string &key, std::int64_t expectedRevision);
nlohmann::json watchRequest(const std::string &prefix, std::int64_t revision);

/// \brief Reads a member that holds an integer as a string or a number; 0 when it is absent.
///
/// Malformed when \a object is not an object or the member is of another type.
Result<std::int64_t> integer(const nlohmann::json &object, const char *member);
/// \brief Cluster id in the header of \a reply, by its 64 bits; 0 when there is none.
Result<std::int64_t> epoch(const nlohmann::json &reply);
/// \brief Id of a granted lease. Malformed when it is 0, since a key put with lease 0 never
/// expires.
Result<std::int64_t> leaseId(const nlohmann::json &reply);
Result<RangeResult> rangeResult(const nlohmann::json &reply);
Result<WriteResult> writeResult(const nlohmann::json &reply);
Result<std::vector<WatchEvent>> watchEvents(const nlohmann::json &result);

} // namespace etcd

} // namespace foxtailring
