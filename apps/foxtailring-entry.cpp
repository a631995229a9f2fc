#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/entry/EntryNode.h"

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

using foxtailring::EntryNode;
using foxtailring::EntrySettings;

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

int run(const EntrySettings &settings)
{
    // Blocked before any thread starts, so that only waitForSignal() takes them.
    const sigset_t signals = shutdownSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    foxtailring::StructuredLog::configure("foxtailring-entry", settings.nodeId);
    std::promise<void> drained; // outlives the threads that set it
    EntryNode node(settings);
    const auto ports = node.listen();
    if (!ports) {
        std::cerr << ports.error().message << '\n';
        return exitFailure;
    }
    node.followPlatform();
    std::cout << "listening " << ports.value().callers << "\nadmin " << ports.value().admin
              << std::endl;
    waitForSignal();
    node.drain([&drained] { drained.set_value(); });
    drained.get_future().wait();
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
    const auto settings = EntrySettings::fromFile(FLAGS_config);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return exitUsage;
    }
    return FLAGS_check_config ? exitSuccess : run(settings.value());
}
