#include "GatewayParts.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/CopyReference.h"
#include "foxtailring/transport/Endpoint.h"

namespace foxtailring {

namespace {

// A request is checked after its caller sent it, and a proof is dated before the store answered, so
// both err on the safe side; this is for the clock's resolution.
constexpr std::chrono::milliseconds keyFreshnessMargin {100};

// Repetitions of all gateways together stay below the budget of a service, 0.8 of its requests and
// 150 more in ten seconds: the part follows each gateway's own requests, and the floor of 4 in ten
// seconds leaves room for 37 gateways that use it up at the same time.
constexpr RetryBudget::Settings retryBudgetSettings {0.75, 0.4};

constexpr std::chrono::milliseconds releaseTimeout {500};
constexpr std::size_t maxReleaseResponseBytes = 64 * 1024;
// Part of the VM's memory for what requests hold; buffers of connections and lists need the rest.
constexpr std::size_t memoryBudgetDivisor = 4;

} // namespace

GatewayParts::GatewayParts(GatewaySettings gatewaySettings, BackendCodec backendCodec)
    : settings(std::move(gatewaySettings))
    , codec(std::move(backendCodec))
    , clock(bootClock())
    , pool(settings.threads)
    , http(pool)
    , queue(pool)
    , placer(servers, settings.availabilityZone, settings.regions, BackendPlacer::Settings {})
    , retryBudget(retryBudgetSettings)
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
            latency,
            random,
            [this, requestId](const CopyReference &copy) {
                releaseCopy(requestId, copy); }};
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
    ExchangeOptions options = ExchangeOptions::pooled();
    options.maxBodyBytes = maxReleaseResponseBytes;
    http.request(endpoint.value(), codec.encodeCopyRelease(copy.handle), releaseTimeout, hook,
                 options);
}

} // namespace foxtailring
