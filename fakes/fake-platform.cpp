#include "FakePlatform.h"
#include "FakeProgram.h"

#include <gflags/gflags.h>
#include <thread>

DEFINE_uint32(history, 10'000, "changes kept for watches; older ones are compacted");
DEFINE_uint32(vm_lag_ms, 0, "delay until the VM list shows a change, in milliseconds");
DEFINE_double(weights_per_second, 10.0, "rate of the weight store");
DEFINE_double(weights_burst, 2.0, "requests that the idle weight store admits at once");

int main(int argc, char **argv)
{
    using namespace foxtailring::fakes;
    initFakeProgram(argc, argv,
                    "Stand-in for the platform: key-value service, VM list, weight store.");
    PlatformOptions options;
    options.historyEvents = FLAGS_history;
    options.vmLag = std::chrono::milliseconds(FLAGS_vm_lag_ms);
    options.weightsPerSecond = FLAGS_weights_per_second;
    options.weightsBurst = FLAGS_weights_burst;
    FakePlatform platform(options);
    std::thread([&platform] { platform.keepTime(); }).detach();
    return runFakeProgram([&platform](FakeExchange &exchange) { platform.handle(exchange); });
}
