#include "foxtailring/operator/ControlCommands.h"
#include "foxtailring/operator/OperatorClient.h"
#include "foxtailring/transport/Endpoint.h"

#include "RouteConfigFiles.h"

#include <algorithm>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(server, "127.0.0.1:7002", "IP:PORT of any entry's admin port");
DEFINE_string(operator, "", "name recorded with each change; default: the USER variable");
DEFINE_string(output, "table", "table or json");
DEFINE_string(f, "", "file with resources");
DEFINE_string(in_force, "", "check-routes: file with the configuration in force");
DEFINE_string(store, "",
              "check-routes: IP:PORT of the store, for the configuration in force and the servers");
DEFINE_int32(memory_mb, 0, "check-routes: memory of the smallest gateway in MB; 0: not checked");
DEFINE_bool(wait, false, "after a change, wait until it is in force on every node");
DEFINE_bool(undo, false, "drain: give the server new work again");
DEFINE_int64(revision, 0, "wait: the revision; 0: the current one");
DEFINE_int64(from, 0, "watch: show changes after this revision");
DEFINE_int32(timeout, 60, "wait: maximum time in seconds");

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

} // namespace

int main(int argc, char **argv)
{
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
    foxtailring::OperatorClient client(entry.value(), operatorName());
    foxtailring::ControlCommands commands(client, options(), std::cin, std::cout, std::cerr);
    return commands.run(arguments);
}
