#include "TokenSource.h"

#include "foxtailring/protocol/KeyHash.h"

namespace foxtailring::fakes {

namespace {

constexpr std::int64_t indexRange = 1'000'000;
// Ids stay below 2^53, which JSON readers that use doubles represent exactly.
constexpr std::uint64_t tagRange = 999'999'999;

} // namespace

TokenSource::TokenSource(std::uint64_t seed, bool vary)
    : m_seed(seed)
    , m_vary(vary)
    , m_random(RandomSource::fromEntropy())
{
}

std::int64_t TokenSource::tagFor(const CompletionRequest &request)
{
    if (!request.resumeIds.empty())
        return request.resumeIds.back() / indexRange;
    const std::string identity = request.prompt + '\0' + request.model + '\0' + request.adapter
        + '\0' + request.version + '\0' + std::to_string(request.seed);
    std::uint64_t hash = keyHash(identity, m_seed);
    if (m_vary) {
        const std::lock_guard lock(m_mutex);
        hash ^= m_random.bounded(tagRange) + 1;
    }
    return static_cast<std::int64_t>(hash % tagRange) + 1;
}

std::int64_t TokenSource::tokenId(std::int64_t tag, std::size_t index)
{
    return tag * indexRange + static_cast<std::int64_t>(index);
}

std::string TokenSource::tokenText(std::int64_t tag, std::size_t index)
{
    return ' ' + std::to_string(tag) + '.' + std::to_string(index);
}

bool TokenSource::isOnePrefix(const std::vector<std::int64_t> &ids)
{
    for (std::size_t index = 0; index < ids.size(); ++index) {
        if (ids[index] != tokenId(ids.front() / indexRange, index))
            return false;
    }
    return true;
}

} // namespace foxtailring::fakes
