#include "Report.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <numeric>
#include <sstream>

namespace foxtailring::bench {

namespace {

template <typename Item>
Item &named(std::vector<Item> &items, const std::string &name)
{
    for (Item &item : items) {
        if (item.name == name)
            return item;
    }
    items.emplace_back();
    items.back().name = name;
    return items.back();
}

double mean(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

std::string number(double value)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(std::abs(value) < 10 ? 2 : 0) << value;
    return out.str();
}

std::string cell(const std::vector<double> &values)
{
    const auto [least, most] = std::minmax_element(values.begin(), values.end());
    if (*least == *most)
        return number(*least);
    return number(mean(values)) + " +- " + number((*most - *least) / 2);
}

} // namespace

void Report::add(const std::string &scenario, const std::string &variant, const std::string &metric,
                 double value)
{
    Variant &row = named(named(m_scenarios, scenario).variants, variant);
    named(row.metrics, metric).values.push_back(value);
}

void Report::printTables(std::ostream &out) const
{
    constexpr int nameWidth = 34;
    for (const Scenario &scenario : m_scenarios) {
        out << "\n" << scenario.name << "\n" << std::left << std::setw(nameWidth) << "";
        for (const Series &metric : scenario.variants.front().metrics)
            out << std::setw(std::max<int>(18, static_cast<int>(metric.name.size()) + 2))
                << metric.name;
        out << "\n";
        for (const Variant &variant : scenario.variants) {
            out << std::setw(nameWidth) << variant.name;
            for (const Series &metric : variant.metrics)
                out << std::setw(std::max<int>(18, static_cast<int>(metric.name.size()) + 2))
                    << cell(metric.values);
            out << "\n";
        }
    }
}

void Report::printJsonLines(std::ostream &out) const
{
    for (const Scenario &scenario : m_scenarios) {
        for (const Variant &variant : scenario.variants) {
            for (const Series &metric : variant.metrics) {
                const auto [least, most] =
                    std::minmax_element(metric.values.begin(), metric.values.end());
                out << nlohmann::json {{"scenario", scenario.name},
                                       {"variant", variant.name},
                                       {"metric", metric.name},
                                       {"mean", mean(metric.values)},
                                       {"least", *least},
                                       {"most", *most},
                                       {"seeds", metric.values.size()}}
                    << "\n";
            }
        }
    }
}

} // namespace foxtailring::bench
