#include "foxtailring/base/StructuredLog.h"
#include "foxtailring/entry/EntryNode.h"
#include "foxtailring/operator/OperatorApi.h"
#include "foxtailring/store/EtcdClient.h"
#include "foxtailring/store/ResourceStore.h"
#include "foxtailring/transport/Http1Client.h"
#include "foxtailring/transport/HttpRequest.h"

#include "Daemon.h"

#include <future>
#include <iostream>

namespace {

using namespace foxtailring;

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
    hooks.peerAdminAddresses = [&node] {
        std::vector<std::string> out;
        for (const auto &entry : node.otherEntries())
            out.push_back(entry.address);
        return out;
    };
    hooks.statusJson = [&node] { return node.statusJson(); };
    return hooks;
}

// The operator interface of one entry and the clients that it uses.
struct OperatorParts
{
    OperatorParts(EntryNode &node, const Endpoint &platform)
        : http(node.pool())
        , keyValues(http, platform)
        , store(node.pool(), keyValues)
        , api(node.pool(), store, node.config(), http, operatorHooks(node))
    {
    }

    Http1Client http;
    EtcdClient keyValues;
    ResourceStore store;
    OperatorApi api;
};

// The node owns the handler, which owns the parts, as long as requests may arrive.
void serveOperators(EntryNode &node, const Endpoint &platform)
{
    const auto parts = std::make_shared<OperatorParts>(node, platform);
    node.setOperatorHandler(
        [parts](const HttpRequest &request, std::shared_ptr<Http1Responder> responder) {
            parts->api.handle(request, std::move(responder));
        });
}

int run(const EntrySettings &settings)
{
    StructuredLog::configure("foxtailring-entry", settings.nodeId);
    std::promise<void> drained; // outlives the threads that set it
    EntryNode node(settings);
    serveOperators(node, settings.platform);
    const auto ports = node.listen();
    if (!ports) {
        std::cerr << ports.error().message << '\n';
        return exitFailure;
    }
    node.followPlatform();
    std::cout << "listening " << ports.value().callers << "\nadmin " << ports.value().admin
              << std::endl;
    Daemon::waitForShutdown();
    node.drain([&drained] { drained.set_value(); });
    drained.get_future().wait();
    return exitSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    EntrySettings settings;
    const auto load = [&settings](const std::string &path) -> Result<Done> {
        auto loaded = EntrySettings::fromFile(path);
        if (!loaded)
            return loaded.error();
        settings = std::move(loaded).value();
        return Done {};
    };
    return Daemon::main(argc, argv, load, [&settings] { return run(settings); });
}
