#include "ConfigCost.h"

#include <iostream>
#include <vector>

// Prints what one configuration costs a gateway in processor time, step by step.
int main()
{
    using namespace foxtailring::bench;
    constexpr std::size_t connections = 100;
    constexpr std::size_t rounds = 31;
    std::vector<ConfigSteps> all;
    for (const std::size_t routes : {100U, 1000U, 4000U})
        all.push_back(measureConfig(routes, connections, rounds));
    std::cout << all.front().tableHead() << "\n";
    for (const ConfigSteps &one : all)
        std::cout << one.tableRow() << "\n";
    std::cout << "\n";
    for (const ConfigSteps &one : all)
        std::cout << one.jsonLine() << "\n";
    return 0;
}
