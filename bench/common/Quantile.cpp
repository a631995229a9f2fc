#include "Quantile.h"

#include <algorithm>
#include <cstddef>

namespace foxtailring::bench {

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

} // namespace foxtailring::bench
