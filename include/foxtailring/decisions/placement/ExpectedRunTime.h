#pragma once

namespace foxtailring {

/// \brief Expected time until a run that is placed at an engine ends, in units of the delay that
/// one other run causes at an engine of usual speed.
class ExpectedRunTime
{
public:
    /// Upper bound of a random addition. Processes share what they know of speeds, and estimates of
    /// engines of one kind of VM differ by less than this.
    static constexpr double maxTieBreak = 2;

    /// \param delay caused by what is at the engine already
    /// \param relativeRunTime how long runs take there, as a multiple of what is usual
    static double of(double delay, double relativeRunTime);
};

} // namespace foxtailring
