#include "ResumeBench.h"

#include <cstdlib>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint64(rounds, 10, "rounds for each kind of failure");
DEFINE_uint64(seed, 1, "seed of the tokens at which failures are injected");

// Measures resume latency and extra resource use (section 1.3 of the design page) with real
// processes on this machine.
int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Measures how callers and engines fare when something fails.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_rounds == 0) {
        std::cerr << "--rounds must be above 0\n";
        return EXIT_FAILURE;
    }
    try {
        foxtailring::bench::ResumeBench bench(FLAGS_rounds, FLAGS_seed);
        bench.run();
        bench.print();
        return bench.isWithinBound() ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &error) {
        std::cerr << "bench-resume: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
