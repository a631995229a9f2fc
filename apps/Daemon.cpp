#include "Daemon.h"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(config, "", "YAML file with the settings");
DEFINE_bool(check_config, false, "check the settings and exit");

namespace foxtailring {

namespace {

sigset_t shutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

// Blocked before any thread starts, so that only waitForShutdown() takes them.
void blockSignals()
{
    const sigset_t signals = shutdownSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace

int Daemon::main(int argc, char **argv, const Load &load, const Run &run)
{
    gflags::SetUsageMessage("--config FILE [--check-config]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_config.empty()) {
        std::cerr << "--config FILE is required\n";
        return exitUsage;
    }
    const auto loaded = load(FLAGS_config);
    if (!loaded) {
        std::cerr << loaded.error().message << '\n';
        return exitUsage;
    }
    if (FLAGS_check_config)
        return exitSuccess;
    blockSignals();
    return run();
}

void Daemon::waitForShutdown()
{
    const sigset_t signals = shutdownSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace foxtailring
