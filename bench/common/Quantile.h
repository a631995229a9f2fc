#pragma once

#include <vector>

namespace foxtailring::bench {

/// \brief The value below which \a share of \a values lie; 0 when there are none.
double quantile(std::vector<double> values, double share);

} // namespace foxtailring::bench
