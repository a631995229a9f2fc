#include "foxtailring/decisions/placement/ExpectedRunTime.h"

namespace foxtailring {

namespace {

// A prompt delays the runs at its engine by three units, and takes about a fifth of its own run.
constexpr double ownTime = 15;

} // namespace

double ExpectedRunTime::of(double delay, double relativeRunTime)
{
    return (ownTime + delay) * relativeRunTime;
}

} // namespace foxtailring
