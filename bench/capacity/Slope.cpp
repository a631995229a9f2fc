#include "Slope.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>

namespace foxtailring::bench {

namespace {

double weightedMean(const std::vector<double> &numbers, const std::vector<double> &values)
{
    double sum = 0;
    double weights = 0;
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const double weight = 1 / (values[i] * values[i]);
        sum += weight * numbers[i];
        weights += weight;
    }
    return sum / weights;
}

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double roundSeconds(const std::function<void()> &call, std::size_t calls)
{
    const double start = cpuSeconds();
    for (std::size_t i = 0; i < calls; ++i)
        call();
    return cpuSeconds() - start;
}

} // namespace

void Slope::add(double size, double value)
{
    sizes.push_back(size);
    values.push_back(value);
}

double Slope::perSize() const
{
    const double meanSize = weightedMean(sizes, values);
    const double meanValue = weightedMean(values, values);
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        const double weight = 1 / (values[i] * values[i]);
        covariance += weight * (sizes[i] - meanSize) * (values[i] - meanValue);
        variance += weight * (sizes[i] - meanSize) * (sizes[i] - meanSize);
    }
    return covariance / variance;
}

double Slope::atZero() const
{
    return weightedMean(values, values) - perSize() * weightedMean(sizes, values);
}

double Slope::worstError() const
{
    double worst = 0;
    for (std::size_t i = 0; i < sizes.size(); ++i)
        worst = std::max(worst, std::abs(atZero() + perSize() * sizes[i] - values[i]) / values[i]);
    return worst;
}

void Slope::printRow(std::ostream &out) const
{
    out << name << ", " << unit << " by " << sizeName << "\n  " << std::fixed;
    for (std::size_t i = 0; i < sizes.size(); ++i)
        out << std::setprecision(0) << sizes[i] << ": " << std::setprecision(2) << values[i]
            << "  ";
    out << "\n  " << std::setprecision(4) << perSize() << " for one more; at "
        << std::setprecision(0) << targetSize << ": " << std::setprecision(2) << atTarget()
        << "; worst error of the line " << std::setprecision(0) << worstError() * 100 << "%\n";
}

void Slope::printJsonLines(std::ostream &out) const
{
    for (std::size_t i = 0; i < sizes.size(); ++i)
        out << nlohmann::json {{"quantity", name},
                               {"unit", unit},
                               {"sizeOf", sizeName},
                               {"size", sizes[i]},
                               {"value", values[i]}}
            << "\n";
    out << nlohmann::json {{"quantity", name},           {"unit", unit},
                           {"sizeOf", sizeName},         {"slope", perSize()},
                           {"atZero", atZero()},         {"targetSize", targetSize},
                           {"extrapolated", atTarget()}, {"worstError", worstError()}}
        << "\n";
}

double cpuMicroseconds(const std::function<void()> &call)
{
    constexpr double roundTarget = 0.02; // seconds
    constexpr int rounds = 5;
    std::size_t calls = 1;
    while (roundSeconds(call, calls) < roundTarget)
        calls *= 2;
    double least = 1e9;
    for (int i = 0; i < rounds; ++i)
        least = std::min(least, roundSeconds(call, calls));
    return least / static_cast<double>(calls) * 1e6;
}

} // namespace foxtailring::bench
