#include "FakeEngine.h"
#include "FakeProgram.h"

#include <gflags/gflags.h>
#include <sstream>

DEFINE_uint32(slots, 8, "generations in the batch at once");
DEFINE_double(token_ms, 20.0, "time per token with one generation in the batch, in milliseconds");
DEFINE_double(batch_slowdown, 0.02, "part of --token_ms added for each further generation");
DEFINE_double(prefill_us_per_token, 20.0, "prefill time per uncached token, in microseconds");
DEFINE_uint32(cache_blocks, 4096, "prefix cache size in blocks of 64 characters");
DEFINE_uint32(load_lag_ms, 0, "age of the load that GET /load reports, in milliseconds");
DEFINE_uint32(event_lag_ms, 0, "delay of cache events, in milliseconds");
DEFINE_double(event_loss, 0.0, "part of the cache events that is lost, 0 to 1");
DEFINE_uint64(seed, 1, "seed of the token texts and of lost cache events");
DEFINE_bool(vary, false, "make each generation of a prompt differ, as sampling does");
DEFINE_bool(check_fencing, false, "refuse requests with a lower fencing token than an earlier one");
DEFINE_string(models, "", "loaded models, separated by commas; empty: accept any");
DEFINE_string(adapters, "", "loaded adapters, separated by commas");
DEFINE_string(versions, "", "loaded versions, separated by commas");

namespace {

using namespace foxtailring::fakes;

std::vector<std::string> splitList(const std::string &list)
{
    std::vector<std::string> parts;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

std::chrono::microseconds microseconds(double count)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(count));
}

EngineOptions optionsFromFlags()
{
    EngineOptions options;
    options.slots = FLAGS_slots;
    options.tokenTime = microseconds(FLAGS_token_ms * 1000.0);
    options.batchSlowdown = FLAGS_batch_slowdown;
    options.prefillTimePerToken = microseconds(FLAGS_prefill_us_per_token);
    options.cacheBlocks = FLAGS_cache_blocks;
    options.loadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
    options.eventLag = std::chrono::milliseconds(FLAGS_event_lag_ms);
    options.eventLoss = FLAGS_event_loss;
    options.seed = FLAGS_seed;
    options.vary = FLAGS_vary;
    options.checkFencing = FLAGS_check_fencing;
    options.models = splitList(FLAGS_models);
    options.adapters = splitList(FLAGS_adapters);
    options.versions = splitList(FLAGS_versions);
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    initFakeProgram(argc, argv, "Stand-in for a model engine.");
    FakeEngine engine(optionsFromFlags());
    return runFakeProgram([&engine](FakeExchange &exchange) { engine.handle(exchange); });
}
