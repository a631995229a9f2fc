#include "Daemon.h"

#include "foxtailring/base/StructuredLog.h"

#include <chrono>
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

// Lines that a slow reader of standard output has left in the buffer. The process must end even if
// nobody reads it.
constexpr std::chrono::milliseconds logFlushTimeout {100};

sigset_t shutdownSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

// Call before any thread starts: threads inherit the mask, so that only waitForShutdown() receives
// the signals.
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
    // Skips the destructors of static objects: those of the logging library wait for its threads,
    // and drained processes hung there until they were killed.
    const int code = run();
    StructuredLog::flush(logFlushTimeout);
    std::quick_exit(code);
}

void Daemon::waitForShutdown()
{
    const sigset_t signals = shutdownSignals();
    int signal = SIGHUP;
    while (signal == SIGHUP) {
        sigwait(&signals, &signal);
        // Settings only take effect at the next start.
        if (signal == SIGHUP)
            StructuredLog::info("reloadIgnored", {{"reason", "settings are read at start"}});
    }
}

} // namespace foxtailring
