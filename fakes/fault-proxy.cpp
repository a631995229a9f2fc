// A TCP proxy whose faults are set over HTTP on --listen:
//   POST /fake/routes/NAME  members, each of them optional:
//     cut: true             resets all connections
//     refuse: bool          refuses new connections
//     delayMs: N            delays each chunk in each direction
//     oneWay: "to-target" | "to-client" | null   swallows the bytes of that direction; a
//                           connection that has lost bytes stays silent in that direction
//     silentExisting: true  swallows all further bytes of the connections that are open now
//     freeze: bool          holds bytes back, then delivers them
//     truncateAfter: N | null   closes each connection after N bytes to the client
//     target: "IP:PORT"     target of new connections
//   POST /fake/reset        takes all faults off; connections that have lost bytes are reset
//   GET /fake/stats         counters of each route
#include "FakeProgram.h"
#include "FaultProxy.h"

#include <cstring>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(route, "", "[NAME@]LISTEN=TARGET, both IP:PORT; may be repeated");

namespace {

// gflags keeps only the last value of a repeated option.
std::vector<std::string> repeatedRoutes(int argc, char **argv)
{
    std::vector<std::string> routes;
    for (int index = 1; index < argc; ++index) {
        const std::string option = argv[index];
        if (option == "--route" && index + 1 < argc)
            routes.emplace_back(argv[++index]);
        else if (option.starts_with("--route="))
            routes.push_back(option.substr(std::strlen("--route=")));
    }
    return routes;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace foxtailring::fakes;
    const std::vector<std::string> routes = repeatedRoutes(argc, argv);
    initFakeProgram(argc, argv, "TCP proxy that injects faults.");
    FaultProxy proxy;
    try {
        for (const std::string &route : routes) {
            const auto [name, port] = proxy.addRoute(route);
            std::cout << "listening " << name << ' ' << port << std::endl;
        }
    } catch (const std::exception &fault) {
        std::cerr << "cannot add route: " << fault.what() << '\n';
        return 1;
    }
    proxy.start();
    return runFakeProgram([&proxy](FakeExchange &exchange) { proxy.handle(exchange); });
}
