#include "ResumeRow.h"

#include "Quantile.h"

#include <iomanip>
#include <nlohmann/json.hpp>

namespace foxtailring::bench {

namespace {

constexpr int nameWidth = 20;
constexpr int numberWidth = 9;

} // namespace

ResumeRow::ResumeRow(std::string failure, std::string caller)
    : m_failure(std::move(failure))
    , m_caller(std::move(caller))
{
}

void ResumeRow::add(const RoundResult &result)
{
    m_waits.push_back(result.wait);
    m_sum += result.work;
}

double ResumeRow::longestWait() const
{
    return quantile(m_waits, 1);
}

Work ResumeRow::work() const
{
    const auto rounds = static_cast<double>(m_waits.size());
    return {m_sum.tokens / rounds, m_sum.prefill / rounds};
}

void ResumeRow::printHead(std::ostream &out)
{
    out << std::left << std::setw(nameWidth) << "failure" << std::setw(nameWidth) << "caller"
        << std::right;
    for (const char *name :
         {"rounds", "p50 ms", "p95 ms", "p99 ms", "max ms", "tokens", "prefill", "load"})
        out << std::setw(numberWidth) << name;
    out << "\n";
}

void ResumeRow::printRow(std::ostream &out, std::size_t tokens, const Work &undisturbed) const
{
    out << std::left << std::setw(nameWidth) << m_failure << std::setw(nameWidth) << m_caller
        << std::right << std::fixed << std::setw(numberWidth) << m_waits.size()
        << std::setprecision(0);
    for (const double share : {0.5, 0.95, 0.99, 1.0})
        out << std::setw(numberWidth) << quantile(m_waits, share);
    const Extra more = extra(tokens, undisturbed);
    out << std::setprecision(3);
    for (const double ratio : {more.tokens, more.prefill, more.load})
        out << std::setw(numberWidth) << ratio;
    out << std::endl;
}

void ResumeRow::printJsonLine(std::ostream &out, std::size_t tokens, const Work &undisturbed) const
{
    const Extra more = extra(tokens, undisturbed);
    out << nlohmann::json {{"failure", m_failure},
                           {"caller", m_caller},
                           {"rounds", m_waits.size()},
                           {"p50Ms", quantile(m_waits, 0.5)},
                           {"p95Ms", quantile(m_waits, 0.95)},
                           {"p99Ms", quantile(m_waits, 0.99)},
                           {"maxMs", longestWait()},
                           {"extraTokensPerToken", more.tokens},
                           {"extraPrefillPerToken", more.prefill},
                           {"load", more.load}}
        << "\n";
}

ResumeRow::Extra ResumeRow::extra(std::size_t tokens, const Work &undisturbed) const
{
    const auto answer = static_cast<double>(tokens);
    const Work mean = work();
    return {mean.tokens / answer - 1, (mean.prefill - undisturbed.prefill) / answer,
            mean.total() / undisturbed.total()};
}

} // namespace foxtailring::bench
