#include "Daemon.h"

#include "foxtailring/base/StructuredLog.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(config, "",
              "YAML file with the settings; default: the file that the variable "
              "FOXTAILRING_SETTINGS names");
DEFINE_bool(check_config, false, "check the settings and exit");

namespace foxtailring {

namespace {

sigset_t shutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
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
    const char *settingsPath = std::getenv("FOXTAILRING_SETTINGS");
    if (FLAGS_config.empty() && settingsPath)
        FLAGS_config = settingsPath;
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
    // Destructors of static objects are skipped: the logging library's wait for its threads, which
    // kept drained processes from ending until they were killed. Log lines are written at once.
    std::quick_exit(run());
}

void Daemon::waitForShutdown()
{
    const sigset_t signals = shutdownSignals();
    int signal = SIGHUP;
    while (signal == SIGHUP) {
        sigwait(&signals, &signal);
        // Addresses and limits of a running process stay as they are until its next start.
        if (signal == SIGHUP)
            StructuredLog::info("reloadIgnored", {{"reason", "settings are read at start"}});
    }
}

} // namespace foxtailring
