#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Number of buckets that hold the claims of one service.
///
/// Every node must use the same number: otherwise a key would be looked up in another bucket and
/// its call could run twice. 32 buckets of under 1 MiB hold about 70,000 claims of 400 bytes.
constexpr std::uint32_t claimBucketCount = 32;

/// \brief Bucket of a client account's idempotency key. Entries route all calls of a bucket to one
/// home server.
std::uint32_t claimBucket(std::string_view account, std::string_view idempotencyKey);

/// \brief Key of a claim within its bucket.
std::string claimKey(std::string_view account, std::string_view idempotencyKey);

/// \brief Key of a bucket's document in the platform's key-value service.
std::string claimBucketPath(std::string_view service, std::uint32_t bucket);

} // namespace foxtailring
