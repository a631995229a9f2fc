#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Buckets of claims of one service.
///
/// Every node must use the same number: with another one a key would be looked up in another bucket
/// and could run twice. 32 buckets of under 1 MiB hold about 70,000 claims of 400 bytes.
constexpr std::uint32_t claimBucketCount = 32;

/// \brief The bucket of a client account's idempotency key. Entries send the calls of one bucket to
/// one home server.
std::uint32_t claimBucket(std::string_view account, std::string_view idempotencyKey);

/// \brief Name of a claim within its bucket.
std::string claimKey(std::string_view account, std::string_view idempotencyKey);

/// \brief Key of a bucket's document in the platform's key-value service.
std::string claimBucketPath(std::string_view service, std::uint32_t bucket);

} // namespace foxtailring
