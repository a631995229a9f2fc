#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using Names = std::vector<std::string>;

// Fails by an exception when there is no suite with one of the names.
Names allSuitesExcept(const Names &names)
{
    const std::unique_ptr<CppUnit::Test> all(
        CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    for (const std::string &name : names)
        all->findTest(name);
    Names others;
    for (int i = 0; i < all->getChildTestCount(); ++i) {
        const std::string name = all->getChildTestAt(i)->getName();
        if (std::find(names.begin(), names.end(), name) == names.end())
            others.push_back(name);
    }
    return others;
}

// The empty name stands for all tests.
Names testsToRun(Names arguments)
{
    if (arguments.empty())
        return {""};
    if (arguments.front() != "--except")
        return arguments;
    arguments.erase(arguments.begin());
    return allSuitesExcept(arguments);
}

} // namespace

// The arguments are the names of tests or suites to run alone, or --except and those not to run.
int main(int argc, char **argv)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    for (const std::string &name : testsToRun(Names(argv + 1, argv + argc)))
        runner.run(result, name);

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    return collector.wasSuccessful() ? 0 : 1;
}
