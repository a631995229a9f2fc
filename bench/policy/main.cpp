#include "Report.h"
#include "Scenarios.h"

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

// Compares the policies of the decisions package with simpler ones. All runs are simulated with a
// clock set by events and fixed seeds; only the policies are the real code.
// usage: bench-policy [SCENARIO...]   (routing overload retries zone-loss subsets)
int main(int argc, char **argv)
{
    using namespace foxtailring::bench;
    constexpr std::uint64_t seeds = 5;
    struct Scenario
    {
        std::string_view name;
        void (*run)(Report &, std::uint64_t);
    };
    constexpr Scenario scenarios[] = {
        {"routing", runRouting},    {"overload", runOverload}, {"retries", runRetries},
        {"zone-loss", runZoneLoss}, {"subsets", runSubsets},
    };
    Report report;
    for (const Scenario &scenario : scenarios) {
        bool wanted = argc == 1;
        for (int i = 1; i < argc; ++i)
            wanted = wanted || scenario.name == argv[i];
        for (std::uint64_t seed = 1; wanted && seed <= seeds; ++seed)
            scenario.run(report, seed);
    }
    std::cout << "seeds 1 to " << seeds << "; mean +- half the range over the seeds\n";
    report.printTables(std::cout);
    std::cout << "\n";
    report.printJsonLines(std::cout);
    return EXIT_SUCCESS;
}
