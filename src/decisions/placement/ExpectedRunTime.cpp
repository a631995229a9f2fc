#include "foxtailring/decisions/placement/ExpectedRunTime.h"

namespace foxtailring {

namespace {

// A prompt takes three units, about a fifth of its run.
constexpr double ownTime = 15;

} // namespace

double ExpectedRunTime::of(double delay, double relativeRunTime)
{
    return (ownTime + delay) * relativeRunTime;
}

} // namespace foxtailring
