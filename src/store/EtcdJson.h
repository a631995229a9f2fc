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

/// \brief Requests and replies of the etcd v3 JSON gateway.
///
/// The gateway writes 64-bit integers as strings, bytes in base64, and leaves out members that
/// have their default value.
namespace etcd {

/// \brief The first key after all keys with \a prefix.
std::string prefixEnd(std::string prefix);

nlohmann::json rangeRequest(const std::string &key);
nlohmann::json prefixRequest(const std::string &prefix);
nlohmann::json compareAndSwapRequest(const std::string &key, const std::string &value,
                                     std::int64_t expectedRevision, std::int64_t lease);
nlohmann::json compareAndDeleteRequest(const std::string &key, std::int64_t expectedRevision);
nlohmann::json watchRequest(const std::string &prefix, std::int64_t revision);

/// \brief Integer member that may be absent, a string or a number. Malformed when it is neither.
Result<std::int64_t> integer(const nlohmann::json &object, const char *member);
/// \brief Id of a granted lease, which is never 0: a put with lease 0 would never expire.
Result<std::int64_t> leaseId(const nlohmann::json &reply);
Result<RangeResult> rangeResult(const nlohmann::json &reply);
Result<WriteResult> writeResult(const nlohmann::json &reply);
Result<std::vector<WatchEvent>> watchEvents(const nlohmann::json &result);

} // namespace etcd

} // namespace foxtailring
