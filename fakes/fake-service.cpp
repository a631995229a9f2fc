#include "FakeProgram.h"
#include "FakeService.h"

#include <gflags/gflags.h>

DEFINE_string(name, "service", "name of this server, returned in each answer");
DEFINE_uint32(slots, 16, "calls executed at once");
DEFINE_uint32(delay_ms, 0, "time that a call takes, in milliseconds");
DEFINE_uint32(load_lag_ms, 0, "age of the load that GET /load reports, in milliseconds");
DEFINE_bool(check_fencing, false, "refuse calls with a lower X-Fencing-Token than an earlier one");

int main(int argc, char **argv)
{
    using namespace foxtailring::fakes;
    initFakeProgram(argc, argv, "Stand-in for a plain HTTP service.");
    ServiceOptions options;
    options.name = FLAGS_name;
    options.slots = FLAGS_slots;
    options.delay = std::chrono::milliseconds(FLAGS_delay_ms);
    options.loadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
    options.checkFencing = FLAGS_check_fencing;
    FakeService service(options);
    return runFakeProgram([&service](FakeExchange &exchange) { service.handle(exchange); });
}
