#include "FakeProgram.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>
#include <pthread.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:PORT to accept HTTP on; port 0 is chosen by the system");

namespace foxtailring::fakes {

namespace {

sigset_t endingSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void initFakeProgram(int &argc, char **&argv, const char *usage)
{
    const sigset_t signals = endingSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
}

int runFakeProgram(const FakeHandler &handler)
{
    FakeHttpServer server(handler);
    try {
        std::cout << "listening " << server.listen(FLAGS_listen) << std::endl;
    } catch (const std::exception &fault) {
        std::cerr << "cannot listen on " << FLAGS_listen << ": " << fault.what() << '\n';
        return 1;
    }
    const sigset_t signals = endingSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    // Connection threads may be blocked in a fault, so they are not joined.
    std::quick_exit(0);
}

} // namespace foxtailring::fakes
