#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/entry/EntryNode.h"
#include "foxtailring/operator/OperatorApi.h"
#include "foxtailring/platform/KeyValueClient.h"
#include "foxtailring/platform/ResourceStore.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/HttpRequest.h"

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

using namespace foxtailring;

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

NodeStatus status(const NodeRevision &node)
{
    return {node.id, node.role, node.state, node.availabilityZone, node.revision};
}

OperatorHooks operatorHooks(const EntryNode &node)
{
    OperatorHooks hooks;
    hooks.localNodes = [&node] {
        std::vector<NodeStatus> out;
        for (const NodeRevision &one : node.nodes())
            out.push_back(status(one));
        return out;
    };
    hooks.peerAdmins = [&node] {
        std::vector<std::string> out;
        for (const auto &entry : node.otherEntries())
            out.push_back(entry.address);
        return out;
    };
    hooks.statusJson = [&node] { return node.statusJson(); };
    return hooks;
}

int run(const EntrySettings &settings)
{
    // Blocked before any thread starts, so that only waitForSignal() takes them.
    const sigset_t signals = shutdownSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    StructuredLog::configure("foxtailring-entry", settings.nodeId);
    std::promise<void> drained; // outlives the threads that set it
    EntryNode node(settings);
    Http1Client http(node.pool());
    KeyValueClient keyValues(http, settings.platform);
    ResourceStore store(node.pool(), keyValues);
    OperatorApi operatorApi(node.pool(), store, node.config(), http, operatorHooks(node));
    node.setOperatorHandler(
        [&operatorApi](const HttpRequest &request, std::shared_ptr<Http1Responder> responder) {
            operatorApi.handle(request, std::move(responder));
        });
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
