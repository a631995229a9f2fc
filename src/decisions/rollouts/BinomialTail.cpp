#include "foxtailring/decisions/rollouts/BinomialTail.h"

#include <cmath>

namespace foxtailring {

namespace {

// Further terms change the sum by less than this fraction.
constexpr double negligible = 1e-6;

double logBinomial(double trials, double hits)
{
    return std::lgamma(trials + 1) - std::lgamma(hits + 1) - std::lgamma(trials - hits + 1);
}

} // namespace

double binomialTail(std::uint64_t trials, std::uint64_t hits, double probability)
{
    if (hits == 0 || probability >= 1)
        return 1;
    if (hits > trials || probability <= 0)
        return 0;
    const auto n = static_cast<double>(trials);
    const double odds = probability / (1 - probability);
    auto k = static_cast<double>(hits);
    double term = std::exp(logBinomial(n, k) + k * std::log(probability)
                           + (n - k) * std::log1p(-probability));
    double sum = term;
    for (; k < n; ++k) {
        const double ratio = (n - k) / (k + 1) * odds;
        term *= ratio;
        sum += term;
        if (ratio < 1 && term < negligible * sum)
            break;
    }
    return std::fmin(sum, 1);
}

} // namespace foxtailring
