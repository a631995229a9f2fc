#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/sidecar/Sidecar.h"
#include "foxtailring/sidecar/StartIncarnation.h"
#include "foxtailring/transport/WorkerPool.h"

#include "Daemon.h"

#include <future>
#include <iostream>

namespace {

using namespace foxtailring;

int run(const SidecarSettings &settings)
{
    StructuredLog::configure("foxtailring-sidecar", settings.nodeId);
    std::promise<void> drained; // outlives the threads that set it
    WorkerPool pool(settings.threads);
    Sidecar::Hooks hooks;
    hooks.onDrained = [&drained] { drained.set_value(); };
    Sidecar sidecar(pool, settings, startIncarnation(), std::move(hooks));
    if (const auto started = sidecar.start(); !started) {
        std::cerr << started.error().message << '\n';
        return exitFailure;
    }
    std::cout << "listening " << sidecar.port() << "\nadmin " << sidecar.adminPort() << std::endl;
    Daemon::waitForShutdown();
    sidecar.drain();
    drained.get_future().wait();
    sidecar.stop();
    return exitSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    SidecarSettings settings;
    const auto load = [&settings](const std::string &path) -> Result<Done> {
        auto loaded = SidecarSettings::fromFile(path);
        if (!loaded)
            return loaded.error();
        settings = std::move(loaded).value();
        return Done {};
    };
    return Daemon::main(argc, argv, load, [&settings] { return run(settings); });
}
