#include "GatewayParts.h"

namespace foxtailring {

namespace {

// For what passes between a caller's sending and the check of its key.
constexpr std::chrono::milliseconds keyMargin {700};

// Repetitions of all gateways together stay below the platform's budget: 0.8 of the requests and
// 150 more in ten seconds.
constexpr RetryBudget::Settings retrySettings {0.6, 2.0};

} // namespace

GatewayParts::GatewayParts(GatewaySettings gatewaySettings, BackendWire backendWire)
    : settings(std::move(gatewaySettings))
    , wire(std::move(backendWire))
    , clock(bootClock())
    , pool(settings.threads)
    , http(pool)
    , queue(pool)
    , placer(servers, settings.availabilityZone, settings.regions, BackendPlacer::Settings {})
    , retries(retrySettings)
    , keys(settings.keyRevocation, keyMargin)
    , random(RandomSource::fromEntropy())
{
}

} // namespace foxtailring
