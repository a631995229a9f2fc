#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace foxtailring::bench {

/// \brief One quantity measured over sizes, with the straight line through it.
///
/// The line has the least squares of relative errors, so that small sizes count as much as large.
struct Slope
{
    std::string name; ///< class and quantity
    std::string unit;
    std::string sizeName;
    std::vector<double> sizes;
    std::vector<double> values;
    double targetSize = 0; ///< size of section 1.7

    void add(double size, double value);

    double perSize() const;
    double atZero() const;
    double atTarget() const { return atZero() + perSize() * targetSize; }
    /// \brief Largest distance of a value from the line, as a part of the value.
    double worstError() const;

    void printRow(std::ostream &out) const;
    void printJsonLines(std::ostream &out) const;
};

/// \brief CPU microseconds of one call: the least of several rounds of many calls.
double cpuMicroseconds(const std::function<void()> &call);

} // namespace foxtailring::bench
