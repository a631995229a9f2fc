#include "CapacityBench.h"

#include <iostream>

// Measures how memory and CPU time of the entry's policies grow, and extends the straight lines to
// the sizes of section 1.7 of the design page.
int main()
{
    using namespace foxtailring::bench;
    std::vector<Slope> all = measureServers();
    for (const auto &more : {measureSubsets(), measureAccounts(), measureQuarantine()})
        all.insert(all.end(), more.begin(), more.end());
    for (const Slope &slope : all)
        slope.printRow(std::cout);
    std::cout << "\n";
    for (const Slope &slope : all)
        slope.printJsonLines(std::cout);
    return 0;
}
