#include "GatewayParts.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/CopyReference.h"
#include "foxtailring/transport/Endpoint.h"

#include "DurationText.h"

namespace foxtailring {

namespace {

// Only covers the clock's resolution: a request is checked after its caller sent it, and a proof is
// dated before the store answered, so both already err on the safe side.
constexpr std::chrono::milliseconds keyFreshnessMargin {100};

constexpr std::chrono::milliseconds releaseTimeout {500};
constexpr std::size_t maxReleaseResponseBytes = 64 * 1024;
// Requests may hold this fraction of the VM's memory; connection buffers and lists need the rest.
constexpr std::size_t memoryBudgetDivisor = 4;

} // namespace

// The retries of all gateways together stay below the budget of a service, which is 0.8 of its
// requests plus 150 in ten seconds. The fraction applies to each gateway's own requests; the
// minimum of 4 in ten seconds leaves room for 37 gateways that use it up at the same time.
const RetryBudget::Settings GatewayParts::retryBudgetSettings {0.75, 0.4};

GatewayParts::GatewayParts(GatewaySettings gatewaySettings, BackendCodec backendCodec)
    : settings(std::move(gatewaySettings))
    , codec(std::move(backendCodec))
    , clock(bootClock())
    , pool(settings.threads)
    , http(pool)
    , queue(pool)
    , placer(servers, settings.availabilityZone, settings.regions, BackendPlacer::Settings {})
    , retryBudget(retryBudgetSettings)
    , rateLimits({settings.nodeId, settings.maxServerListDelay})
    , keyFreshness(settings.maxKeyRevocationDelay, keyFreshnessMargin)
    , random(RandomSource::fromEntropy())
    , memoryBudget(settings.memoryMb * 1024 * 1024 / memoryBudgetDivisor)
{
}

ForwardContext GatewayParts::forwardContext(const std::string &requestId)
{
    return {servers,
            placer,
            retryBudget,
            rateLimits,
            latency,
            random,
            [this, requestId](const CopyReference &copy) { releaseCopy(requestId, copy); },
            [this, requestId](std::string_view serverId, const RateLimitExplanation &reason) {
                reportRateLimited(requestId, serverId, reason);
            }};
}

std::string GatewayParts::rateLimitGauge(std::string_view serverId)
{
    return "gateway_server_limit{server=\"" + std::string(serverId) + "\"}";
}

void GatewayParts::reportRateLimited(const std::string &requestId, std::string_view serverId,
                                     const RateLimitExplanation &reason)
{
    metrics.add("gateway_limit_denied_total{server=\"" + std::string(serverId) + "\"}");
    metrics.setGauge(rateLimitGauge(serverId), reason.limit);
    StructuredLog::info("limitReached",
                        {{"request", requestId},
                         {"server", std::string(serverId)},
                         {"limitPerSecond", std::to_string(reason.limit)},
                         {"limitAgeMs", msText(reason.limitAge)},
                         {"quota", std::to_string(reason.quota)},
                         {"windowMs", msText(reason.window)},
                         {"recent", std::to_string(reason.recent)},
                         {"gateways", std::to_string(reason.processes)},
                         {"shareKnown", reason.isShareKnown ? "true" : "false"}});
}

void GatewayParts::releaseCopy(const std::string &requestId, const CopyReference &copy)
{
    const auto hook = [this, requestId,
                       handle = copy.handle](const Result<HttpResponse> &response) {
        const bool isReleased = response && response.value().status < 300;
        metrics.add(isReleased ? "gateway_copies_total{outcome=\"released\"}"
                               : "gateway_copies_total{outcome=\"releaseFailed\"}");
        if (isReleased)
            return;
        StructuredLog::info("copyNotReleased",
                            {{"request", requestId},
                             {"handle", handle},
                             {"error",
                              response ? "status " + std::to_string(response.value().status)
                                       : response.error().message}});
    };
    const auto endpoint = Endpoint::parse(copy.address);
    if (!endpoint)
        return hook(endpoint.error());
    if (!copy.serverId.empty() && !rateLimits.tryAcquire(copy.serverId, clock()))
        return hook(Error {ErrorCode::Overloaded, "the server's rate limit"});
    ExchangeOptions options = ExchangeOptions::pooled();
    options.maxBodyBytes = maxReleaseResponseBytes;
    http.request(endpoint.value(), codec.encodeCopyRelease(copy.handle), releaseTimeout, hook,
                 options);
}

} // namespace foxtailring
