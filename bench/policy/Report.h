#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace foxtailring::bench {

/// \brief Values by scenario, variant and metric, one for each seed.
class Report
{
public:
    void add(const std::string &scenario, const std::string &variant, const std::string &metric,
             double value);

    /// \brief A table for each scenario: mean and, behind "+-", half the range over the seeds.
    void printTables(std::ostream &out) const;
    /// \brief One JSON object a line: scenario, variant, metric, mean, least, most, seeds.
    void printJsonLines(std::ostream &out) const;

private:
    struct Series
    {
        std::string name;
        std::vector<double> values;
    };
    struct Variant
    {
        std::string name;
        std::vector<Series> metrics;
    };
    struct Scenario
    {
        std::string name;
        std::vector<Variant> variants;
    };

    std::vector<Scenario> m_scenarios; ///< in order of first use, as are variants and metrics
};

} // namespace foxtailring::bench
