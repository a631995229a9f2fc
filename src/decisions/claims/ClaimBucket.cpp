#include "foxtailring/decisions/claims/ClaimBucket.h"

#include "foxtailring/protocol/KeyHash.h"

namespace foxtailring {

std::uint32_t claimBucket(std::string_view account, std::string_view idempotencyKey)
{
    return static_cast<std::uint32_t>(keyHash(claimKey(account, idempotencyKey))
                                      % claimBucketCount);
}

// Account names contain no slash, so the key is unique for each pair.
std::string claimKey(std::string_view account, std::string_view idempotencyKey)
{
    std::string key(account);
    key += '/';
    key += idempotencyKey;
    return key;
}

std::string claimBucketPath(std::string_view service, std::uint32_t bucket)
{
    return "/foxtailring/claims/" + std::string(service) + '/' + std::to_string(bucket);
}

} // namespace foxtailring
