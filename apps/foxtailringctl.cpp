#include "foxtailring/operator/ControlCommands.h"
#include "foxtailring/operator/OperatorClient.h"
#include "foxtailring/operator/RolloutCommand.h"
#include "foxtailring/transport/Endpoint.h"

#include "RolloutStore.h"
#include "RouteConfigFiles.h"

#include <algorithm>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(server, "127.0.0.1:7002", "IP:PORT of any entry's admin port");
DEFINE_string(operator, "", "name recorded with each change; default: the USER variable");
DEFINE_string(output, "table", "table or json");
DEFINE_string(f, "", "file with resources");
DEFINE_string(in_force, "", "check-routes: file with the configuration in force");
DEFINE_string(store, "", "check-routes, rollout: IP:PORT of the store that the gateways use");
DEFINE_int32(memory_mb, 0, "check-routes: memory of the smallest gateway in MB; 0: not checked");
DEFINE_bool(wait, false, "after a change, wait until it is in force on every node");
DEFINE_bool(undo, false, "drain: give the server new work again");
DEFINE_int64(revision, 0, "wait: the revision; 0: the current one");
DEFINE_int64(from, 0, "watch: show changes after this revision");
DEFINE_int32(timeout, 60, "wait, rollout --follow: maximum time in seconds");
DEFINE_bool(follow, false, "rollout: show each change until the roll-out has ended");

namespace {

constexpr int usageExitCode = 2;

std::string operatorName()
{
    if (!FLAGS_operator.empty())
        return FLAGS_operator;
    const char *user = std::getenv("USER");
    return user ? user : "unknown";
}

foxtailring::ControlOptions options()
{
    foxtailring::ControlOptions out;
    out.filePath = FLAGS_f;
    out.printsJson = FLAGS_output == "json";
    out.waitsUntilInForce = FLAGS_wait;
    out.undoesDrain = FLAGS_undo;
    out.revision = FLAGS_revision;
    out.from = FLAGS_from;
    out.timeout = std::chrono::seconds(FLAGS_timeout);
    return out;
}

foxtailring::RouteConfigFiles::Options routeConfigOptions()
{
    foxtailring::RouteConfigFiles::Options out;
    out.filePath = FLAGS_f;
    out.inForcePath = FLAGS_in_force;
    out.storeAddress = FLAGS_store;
    out.memoryMb = static_cast<std::size_t>(std::max(FLAGS_memory_mb, 0));
    out.printsJson = FLAGS_output == "json";
    return out;
}

int showRollout(const std::string &service)
{
    const auto address = foxtailring::Endpoint::parse(FLAGS_store);
    if (!address) {
        std::cerr << "--store: " << address.error().message << '\n';
        return usageExitCode;
    }
    foxtailring::RolloutStore store(address.value(), service);
    foxtailring::RolloutCommand::Options options;
    options.follows = FLAGS_follow;
    options.printsJson = FLAGS_output == "json";
    options.timeout = std::chrono::seconds(FLAGS_timeout);
    foxtailring::RolloutCommand::Hooks hooks;
    hooks.read = [&store] { return store.read(); };
    hooks.clock = [] { return foxtailring::TimePoint::clock::now(); };
    hooks.sleep = [](foxtailring::Duration time) { std::this_thread::sleep_for(time); };
    return foxtailring::RolloutCommand(options, hooks, std::cout, std::cerr).run();
}

} // namespace

int main(int argc, char **argv)
{
    // The log lines of the libraries are for programs that run on.
    const log4cplus::Initializer logging;
    log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
    gflags::SetUsageMessage(foxtailring::ControlCommands::usage());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto entry = foxtailring::Endpoint::parse(FLAGS_server);
    if (!entry || (FLAGS_output != "table" && FLAGS_output != "json")) {
        std::cerr << (entry ? "--output: allowed: table or json" : entry.error().message) << '\n';
        return usageExitCode;
    }
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments == std::vector<std::string> {"check-routes"} && !FLAGS_f.empty())
        return foxtailring::RouteConfigFiles::check(routeConfigOptions());
    if (arguments.size() == 2 && arguments[0] == "rollout")
        return showRollout(arguments[1]);
    foxtailring::OperatorClient client(entry.value(), operatorName());
    foxtailring::ControlCommands commands(client, options(), std::cin, std::cout, std::cerr);
    return commands.run(arguments);
}
