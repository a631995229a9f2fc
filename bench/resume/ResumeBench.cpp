#include "ResumeBench.h"

#include "foxtailring/base/RandomSource.h"
#include "ResumeRound.h"

#include <iostream>
#include <stdexcept>

namespace foxtailring::bench {

namespace {

constexpr double longestWait = 4000; // milliseconds until output goes on, the users' bound
constexpr std::size_t latencyRequests = 20;

} // namespace

ResumeBench::ResumeBench(std::size_t rounds, std::uint64_t seed)
    : m_rounds(rounds)
    , m_seed(seed)
{
}

void ResumeBench::run()
{
    m_added.measure(latencyRequests);
    for (const Failure &failure : Failure::all())
        runFailure(failure);
}

// Every kind of failure comes at the same tokens.
void ResumeBench::runFailure(const Failure &failure)
{
    RandomSource random(m_seed);
    ResumeRow resumed(failure.name, "foxtailring");
    ResumeRow restarted(failure.name, "direct, restarts");
    for (std::size_t number = 0; number < m_rounds; ++number) {
        const std::size_t atToken =
            ResumeRound::tokens / 4 + random.bounded(ResumeRound::tokens / 2);
        ResumeRound round(failure, atToken);
        const RoundResult result = round.run();
        check(failure, atToken, result);
        resumed.add(result);
        if (!failure.isEngine)
            continue;
        const RoundResult direct = round.runDirect();
        if (!direct.fault.empty())
            report(failure, atToken, direct.fault);
        restarted.add(direct);
    }
    m_rows.push_back(resumed);
    if (failure.isEngine)
        m_rows.push_back(restarted);
}

void ResumeBench::check(const Failure &failure, std::size_t atToken, const RoundResult &result)
{
    if (!result.fault.empty())
        report(failure, atToken, result.fault);
    if (result.wait > longestWait)
        report(failure, atToken, "output went on after " + std::to_string(result.wait) + " ms");
}

void ResumeBench::report(const Failure &failure, std::size_t atToken, const std::string &fault)
{
    ++m_violations;
    std::cerr << "violation: " << failure.name << " at token " << atToken << ", seed " << m_seed
              << ": " << fault << std::endl;
}

void ResumeBench::print() const
{
    const Work undisturbed = m_rows.front().work();
    std::cout << "seed " << m_seed << ", answers of " << ResumeRound::tokens << " tokens\n"
              << "tokens, prefill: extra work for each token of the answer; load: all work, in "
                 "parts of that without a failure\n";
    ResumeRow::printHead(std::cout);
    for (const ResumeRow &row : m_rows)
        row.printRow(std::cout, ResumeRound::tokens, undisturbed);
    std::cout << "\n";
    m_added.printTable(std::cout);
    std::cout << "violations: " << m_violations << "\n\n";
    for (const ResumeRow &row : m_rows)
        row.printJsonLine(std::cout, ResumeRound::tokens, undisturbed);
    m_added.printJsonLines(std::cout);
}

} // namespace foxtailring::bench
