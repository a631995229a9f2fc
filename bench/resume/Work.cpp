#include "Work.h"

namespace foxtailring::bench {

Work &Work::operator+=(const Work &other)
{
    tokens += other.tokens;
    prefill += other.prefill;
    return *this;
}

Work Work::operator-(const Work &other) const
{
    return {tokens - other.tokens, prefill - other.prefill};
}

} // namespace foxtailring::bench
