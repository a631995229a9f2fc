#pragma once

namespace foxtailring {

/// \brief Time that all runs at an engine of usual speed lose when one more is placed there, and
/// that this one takes: a third of the time of a prompt is the unit.
class ExpectedRunTime
{
public:
    /// Upper bounds of random additions. Processes share what they know of speeds, and estimates of
    /// VMs of one kind differ by less than the first.
    static constexpr double candidateSpread = 2;
    static constexpr double choiceSpread = 1;
    /// A prompt stops all runs at its engine for nearly as long as it is processed.
    static constexpr double delayPerRun = 2.7;
    /// Cost of leaving the affinity servers of a prompt: no speed is worth it. They are a random
    /// sample of the engines, without which all processes would send their runs to the few engines
    /// that look fastest.
    static constexpr double noAffinityCost = 30;

    /// \param delay caused by what is at the engine already
    /// \param relativeRunTime how long runs take there, as a multiple of what is usual
    static double of(double delay, double relativeRunTime);
};

} // namespace foxtailring
