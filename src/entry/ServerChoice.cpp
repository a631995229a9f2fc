#include "ServerChoice.h"

#include "foxtailring/base/RandomSource.h"
#include "foxtailring/protocol/KeyHash.h"

#include "EntryParts.h"
#include "foxtailring/base/ThreadLocalRandom.h"
#include "GenerationJob.h"

#include <algorithm>
#include <optional>

namespace foxtailring {

namespace {

// Engines report cached prompts in blocks of this many characters.
constexpr std::size_t blockChars = 64;
// Hashing all prefixes of a prompt is quadratic in this number.
constexpr std::size_t maxBlocks = 64;
// Rough size of a token, for the cost of a prefill.
constexpr std::size_t charsPerToken = 4;
constexpr std::size_t tokenBytes = 12;

RouteRequest routeRequest(const EntryParts &parts, std::string_view service,
                          const std::set<std::string> &excluded)
{
    RouteRequest request;
    request.service = service;
    request.zone = parts.settings.availabilityZone;
    request.region = parts.settings.region;
    request.meanRunTime = parts.admissionController.meanRunTime(service);
    if (excluded.empty())
        return request;
    for (const ServerState &server : parts.servers.servers(service, parts.clock())) {
        if (excluded.contains(server.info->address))
            request.excludedServerIds.push_back(server.info->id);
    }
    return request;
}

// The longest prefix of the prompt that some server reported.
std::optional<std::uint64_t> knownPrefix(const EntryParts &parts, std::string_view prompt)
{
    const std::size_t blocks = std::min(prompt.size() / blockChars, maxBlocks);
    for (std::size_t count = blocks; count > 0; --count) {
        const std::uint64_t hash = keyHash(prompt.substr(0, count * blockChars));
        if (!parts.hints.servers(hash, parts.clock()).empty())
            return hash;
    }
    return std::nullopt;
}

RouteRequest generationRequest(const EntryParts &parts, const GenerationJob &job,
                               const std::set<std::string> &excluded)
{
    RouteRequest request = routeRequest(parts, job.service, excluded);
    request.prefixHash = knownPrefix(parts, job.request.prompt);
    request.weights = job.weights;
    return request;
}

} // namespace

Result<RouteChoice> ServerChoice::forNew(const EntryParts &parts, const GenerationJob &job,
                                         const std::set<std::string> &excluded)
{
    return parts.router.choose(generationRequest(parts, job, excluded), parts.clock(),
                               threadLocalRandom());
}

Result<RouteChoice> ServerChoice::forResume(const EntryParts &parts, const GenerationJob &job,
                                            const std::set<std::string> &excluded,
                                            std::uint64_t prefixTokens)
{
    ResumeRequest request;
    request.route = generationRequest(parts, job, excluded);
    request.inputTokens = job.request.prompt.size() / charsPerToken + prefixTokens;
    if (request.route.prefixHash)
        request.cachedTokens = job.request.prompt.size() / charsPerToken;
    const std::uint64_t remaining =
        job.spec.maxTokens - std::min<std::uint64_t>(prefixTokens, job.spec.maxTokens);
    request.transferBytes = job.request.prompt.size() + (prefixTokens + remaining) * tokenBytes;
    return parts.router.chooseForResume(request, parts.clock(), threadLocalRandom());
}

Result<RouteChoice> ServerChoice::forCall(const EntryParts &parts, std::string_view service,
                                          const std::set<std::string> &excluded)
{
    return parts.router.choose(routeRequest(parts, service, excluded), parts.clock(),
                               threadLocalRandom());
}

} // namespace foxtailring
