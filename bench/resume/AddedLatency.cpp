#include "AddedLatency.h"

#include "DirectCaller.h"
#include "Quantile.h"
#include "ResumeRound.h"
#include "TokenTimes.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace foxtailring::bench {

void AddedLatency::measure(std::size_t requests)
{
    harness::SystemFixture system(ResumeRound::systemOptions());
    for (std::size_t number = 0; number < requests; ++number) {
        const std::size_t engine = number % system.engineCount();
        send(m_direct, system.engine(engine).backend->port(), "direct " + std::to_string(number));
        send(m_served, system.entry(number % system.entryCount()).port,
             "served " + std::to_string(number));
    }
}

void AddedLatency::send(Way &way, std::uint16_t port, const std::string &prompt)
{
    constexpr std::size_t tokens = 40;
    harness::CallerOptions options = ResumeRound::request(prompt);
    options.maxTokens = tokens;
    DirectCaller caller({port}, options);
    TokenTimes times;
    caller.onToken([&times](std::size_t) { times.addToken(); });
    const TimePoint start = std::chrono::steady_clock::now();
    if (!caller.run())
        throw std::runtime_error("no whole answer: " + way.name
                                 + ", no failure: " + caller.problem());
    way.first.push_back(times.untilFirst(start));
    const std::vector<double> gaps = times.gaps();
    way.gaps.insert(way.gaps.end(), gaps.begin(), gaps.end());
}

void AddedLatency::printTable(std::ostream &out) const
{
    out << "without failures, ms         first p50  gap p50  gap p99   (" << m_direct.first.size()
        << " requests each)\n"
        << std::fixed << std::setprecision(2);
    for (const Way *way : {&m_direct, &m_served})
        out << std::left << std::setw(28) << way->name << std::right << std::setw(10)
            << quantile(way->first, 0.5) << std::setw(9) << quantile(way->gaps, 0.5) << std::setw(9)
            << quantile(way->gaps, 0.99) << "\n";
    out << std::left << std::setw(28) << "added" << std::right;
    out << std::setw(10) << quantile(m_served.first, 0.5) - quantile(m_direct.first, 0.5)
        << std::setw(9) << quantile(m_served.gaps, 0.5) - quantile(m_direct.gaps, 0.5)
        << std::setw(9) << quantile(m_served.gaps, 0.99) - quantile(m_direct.gaps, 0.99) << "\n";
}

void AddedLatency::printJsonLines(std::ostream &out) const
{
    for (const Way *way : {&m_direct, &m_served})
        out << nlohmann::json {{"caller", way->name},
                               {"requests", way->first.size()},
                               {"firstTokenP50Ms", quantile(way->first, 0.5)},
                               {"gapP50Ms", quantile(way->gaps, 0.5)},
                               {"gapP99Ms", quantile(way->gaps, 0.99)}}
            << "\n";
}

} // namespace foxtailring::bench
