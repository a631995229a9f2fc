#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/sidecar/Sidecar.h"
#include "foxtailring/sidecar/StartIncarnation.h"
#include "foxtailring/transport/WorkerPool.h"

#include <csignal>
#include <future>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(config, "", "YAML file with the settings");
DEFINE_bool(check_config, false, "check the settings and exit");

namespace {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

using foxtailring::Sidecar;
using foxtailring::SidecarSettings;

sigset_t shutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void waitForSignal()
{
    const sigset_t signals = shutdownSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

int run(const SidecarSettings &settings)
{
    // Blocked before any thread starts, so that only waitForSignal() takes them.
    const sigset_t signals = shutdownSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    foxtailring::StructuredLog::configure("foxtailring-sidecar", settings.nodeId);
    std::promise<void> drained; // outlives the threads that set it
    foxtailring::WorkerPool pool(settings.threads);
    Sidecar::Hooks hooks;
    hooks.onDrained = [&drained] { drained.set_value(); };
    Sidecar sidecar(pool, settings, foxtailring::startIncarnation(), std::move(hooks));
    if (const auto started = sidecar.start(); !started) {
        std::cerr << started.error().message << '\n';
        return exitFailure;
    }
    std::cout << "listening " << sidecar.port() << "\nadmin " << sidecar.adminPort() << std::endl;
    waitForSignal();
    sidecar.drain();
    drained.get_future().wait();
    sidecar.stop();
    return exitSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("--config FILE [--check-config]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_config.empty()) {
        std::cerr << "--config FILE is required\n";
        return exitUsage;
    }
    const auto settings = SidecarSettings::fromFile(FLAGS_config);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return exitUsage;
    }
    return FLAGS_check_config ? exitSuccess : run(settings.value());
}
