#pragma once

namespace foxtailring::bench {

/// \brief What engines have computed.
struct Work
{
    double tokens = 0;  ///< of output
    double prefill = 0; ///< tokens of prompts and prefixes that were not cached

    double total() const { return tokens + prefill; }
    Work &operator+=(const Work &other);
    Work operator-(const Work &other) const;
};

} // namespace foxtailring::bench
