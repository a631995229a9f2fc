#include "GatewayRollouts.h"

#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/decisions/rollouts/RolloutStatus.h"

#include "GatewayParts.h"

#include <string>
#include <utility>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

std::string_view stateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Serving:
        return "serving";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolledBack";
    }
    return "unknown";
}

std::string figuresText(const VersionFigures &figures)
{
    return std::to_string(figures.answers) + " answers, " + std::to_string(figures.failures)
        + " failed, " + std::to_string(figures.slow) + " slow";
}

void logOrder(GatewayParts &parts, const std::string &service, const std::string &version,
              bool isTrial)
{
    parts.metrics.add("gateway_rollout_orders_total{service=\"" + service + "\"}");
    if (version.empty())
        return StructuredLog::info("rolloutOrderRemoved", {{"service", service}});
    StructuredLog::info(
        "rolloutOrdered",
        {{"service", service}, {"version", version}, {"trial", isTrial ? "true" : "false"}});
}

void logStep(GatewayParts &parts, const std::string &service, const RolloutStatus &status,
             std::string_view cause)
{
    parts.metrics.add("gateway_rollout_steps_total{service=\"" + service + "\",state=\""
                      + std::string(stateName(status.state)) + "\"}");
    StructuredLog::info("rolloutStep",
                        {{"service", service},
                         {"version", status.version},
                         {"state", std::string(stateName(status.state))},
                         {"share", std::to_string(status.share)},
                         {"cause", std::string(cause)},
                         {"reason", status.reason},
                         {"new", figuresText(status.newFigures)},
                         {"old", figuresText(status.oldFigures)}});
}

} // namespace

RolloutEnvironment rolloutEnvironment(GatewayParts &parts)
{
    RolloutEnvironment environment;
    environment.servers = [&parts](std::string_view service, TimePoint now) {
        std::vector<BackendInfo> servers;
        for (BackendState &server : parts.servers.candidates(service, now))
            servers.push_back(std::move(server.info));
        return servers;
    };
    environment.fleet = [&parts](std::string_view service) {
        return RolloutFleet {parts.fleet.size(), parts.fleet.rank(service),
                             parts.fleet.listedIds()};
    };
    environment.storeAge = [&parts](TimePoint now) { return parts.keyFreshness.age(now); };
    environment.unixTime = [](TimePoint) {
        return std::chrono::duration_cast<milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    };
    environment.random = [&parts] { return parts.random.generateDouble(); };
    environment.onOrder = [&parts](const std::string &service, const std::string &version,
                                   bool isTrial) { logOrder(parts, service, version, isTrial); };
    environment.onStep = [&parts](const std::string &service, const RolloutStatus &status,
                                  std::string_view cause) {
        logStep(parts, service, status, cause);
    };
    return environment;
}

} // namespace foxtailring
