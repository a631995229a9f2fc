#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/gateway/GatewayNode.h"

#include "Daemon.h"
#include "KvClient.h"
#include "PlatformRules.h"
#include "WireFormat.h"

#include <chrono>
#include <future>
#include <iostream>

#include <malloc.h>

namespace {

using namespace foxtailring;

// Part of the drain timeout that is left to a process whose threads are too busy to end the drain.
constexpr std::chrono::milliseconds exitReserve {300};

platform::KvClient::Settings storeSettings(const GatewaySettings &settings)
{
    platform::KvClient::Settings store;
    store.pacing =
        PollPacing::forBounds(settings.maxServerListDelay, settings.maxKeyRevocationDelay);
    return store;
}

int serve(const GatewaySettings &settings)
{
    std::promise<void> drained; // outlives the threads that set it
    const auto store = [&settings](WorkerPool &pool, Http1Client &http) {
        return std::make_unique<platform::KvClient>(pool, http, settings.store,
                                                    storeSettings(settings));
    };
    GatewayNode node(settings, platform::backendCodec(), platform::storeSchema(), store);
    const auto listening = node.listen();
    if (!listening) {
        std::cerr << listening.error().message << '\n';
        return exitFailure;
    }
    StructuredLog::info("started",
                        {{"zone", settings.availabilityZone},
                         {"listen", settings.listen.toString()},
                         {"metrics", settings.metrics.toString()}});
    Daemon::waitForShutdown();
    StructuredLog::info("stopping");
    const auto endsAt = std::chrono::steady_clock::now() + settings.drainTimeout - exitReserve;
    node.drain([&drained] { drained.set_value(); });
    if (drained.get_future().wait_until(endsAt) == std::future_status::ready)
        StructuredLog::info("drained");
    else
        StructuredLog::warn("drainOverdue");
    return exitSuccess;
}

int run(const GatewaySettings &settings)
{
    StructuredLog::configure("foxtailring-gateway", settings.nodeId);
    const int code = serve(settings);
    StructuredLog::info("stopped", {{"code", std::to_string(code)}});
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    // The threads that read the store would each keep freed memory of large answers in an arena of
    // their own: 113 and 130 MB in place of 85 MB in tests/process/odd_entries.py.
    mallopt(M_ARENA_MAX, 1);
    GatewaySettings settings;
    const auto load = [&settings](const std::string &path) -> Result<Done> {
        auto loaded = GatewaySettings::fromFile(path);
        if (!loaded)
            return loaded.error();
        settings = std::move(loaded).value();
        settings.limitsPeerMemory = platform::limitsPeerMemory(settings.platformRules);
        return Done {};
    };
    return Daemon::main(argc, argv, load, [&settings] { return run(settings); });
}
