#include "foxtailring/decisions/rollouts/RolloutSchedule.h"

#include <algorithm>
#include <cmath>

namespace foxtailring {

namespace {

using std::chrono::milliseconds;

// Half of what an unproven version may get, so that a move that is broken off stays in bounds too.
constexpr double trialFraction = 0.5;
constexpr double moveShare = 0.3;
// Evidence of a step reaches all gateways within 3 s: a second until it is written, and up to two
// until it is read. The last step leaves time for requests at old servers to end.
constexpr milliseconds minStepTime {2500};
// Before the end of the ramp.
constexpr milliseconds lastMoveTime {9000};
constexpr milliseconds lastStepTime {5000};
constexpr milliseconds endReserve {1000}; ///< for the write of the final status
// The same in a short ramp, as parts of it.
constexpr double moveFraction = 0.33;
constexpr double lateMoveFraction = 0.5; ///< for a service of slow answers
constexpr double lastStepFraction = 0.58;
constexpr double endFraction = 0.92;
// Of any ramp.
constexpr double extraTimeFraction = 0.1;
constexpr double spreadFraction = 0.25;
constexpr double reservedFraction = 0.5;
constexpr double knownFraction = 0.08; ///< until all gateways know the last step
// Without certainty.
constexpr double latestMoveFraction = 0.6;
constexpr double latestStepFraction = 0.8;
// Slow answers show within so many times of the usual answers.
constexpr int slowTimes = 2;
// Answers of the new version before a step, unless so few requests come.
constexpr double fewAnswers = 3;
constexpr double trialAnswers = 8;
constexpr double moveAnswers = 20;
constexpr double minAnswerFraction = 0.1; ///< of the answers of both versions
constexpr std::uint64_t minMoveAnswersOfRoute = 2;

Duration partOf(Duration ramp, double fraction)
{
    return std::chrono::duration_cast<Duration>(ramp * fraction);
}

/// True if there are so many answers of each version that runs, or the service has only few
/// requests.
bool hasAnswers(const RolloutSchedule::Progress &progress, const VersionVerdict &verdict,
                double wanted)
{
    const auto fresh = static_cast<double>(verdict.newFigures.answers);
    const auto old = static_cast<double>(verdict.oldFigures.answers);
    const double all = (fresh + old) / progress.observedShare;
    const double fewest = progress.hasOld ? std::min(fresh, old) : fresh;
    return fewest >= std::min(wanted, std::ceil(minAnswerFraction * all));
}

} // namespace

RolloutSchedule::RolloutSchedule(const RolloutSettings &settings)
    : m_trialShare(trialFraction * settings.maxShare)
{
}

double RolloutSchedule::trialShare() const
{
    return m_trialShare;
}

Duration RolloutSchedule::extraTime(Duration ramp)
{
    return partOf(ramp, extraTimeFraction);
}

Duration RolloutSchedule::reservedTime(Duration ramp)
{
    return partOf(ramp, reservedFraction);
}

Duration RolloutSchedule::spreadTime(Duration ramp)
{
    return partOf(ramp, spreadFraction);
}

// Slow answers of the first requests must have shown, and been read by the others.
Duration RolloutSchedule::moveTime(Duration ramp, Duration usualTime)
{
    const Duration shown = extraTime(ramp) + slowTimes * usualTime + minStepTime;
    return std::max<Duration>({ramp - lastMoveTime, partOf(ramp, moveFraction),
                               std::min(shown, partOf(ramp, lateMoveFraction))});
}

std::optional<RolloutSchedule::Step> RolloutSchedule::next(const Progress &progress,
                                                           const VersionVerdict &verdict) const
{
    const Duration ramp = progress.ramp;
    const Duration endAt = std::max<Duration>(ramp - endReserve, partOf(ramp, endFraction));
    if (verdict.grade >= VersionVerdict::Grade::Suspect) {
        const bool isDecided =
            verdict.grade == VersionVerdict::Grade::Bad || progress.elapsed >= endAt;
        return isDecided ? std::optional(Step {true, true, 0}) : std::nullopt;
    }
    if (progress.share < moveShare)
        return mayMove(progress, verdict) ? std::optional(Step {false, false, moveShare})
                                          : std::nullopt;
    if (progress.share < 1)
        return mayEndMove(progress, verdict) ? std::optional(Step {false, false, 1}) : std::nullopt;
    const bool isKnown = progress.shareAge >= partOf(ramp, knownFraction);
    if (isKnown && (progress.isMoved || progress.elapsed >= endAt))
        return Step {true, false, 1};
    return std::nullopt;
}

bool RolloutSchedule::mayMove(const Progress &progress, const VersionVerdict &verdict)
{
    const Duration ramp = progress.ramp;
    if (progress.elapsed < moveTime(ramp, verdict.usualTime)
        || !hasAnswers(progress, verdict, fewAnswers))
        return false;
    const bool isCertain =
        verdict.grade == VersionVerdict::Grade::Good && hasAnswers(progress, verdict, trialAnswers);
    return isCertain || progress.elapsed >= partOf(ramp, latestMoveFraction);
}

bool RolloutSchedule::mayEndMove(const Progress &progress, const VersionVerdict &verdict)
{
    const Duration ramp = progress.ramp;
    const Duration stepTime = std::min<Duration>(minStepTime, partOf(ramp, spreadFraction));
    const Duration lastAt = std::max(ramp - lastStepTime, partOf(ramp, lastStepFraction));
    if (progress.elapsed < lastAt)
        return false;
    const bool isCertain = verdict.grade == VersionVerdict::Grade::Good
        && hasAnswers(progress, verdict, moveAnswers)
        && verdict.fewestAnswers >= minMoveAnswersOfRoute;
    const bool isLate = progress.elapsed >= partOf(ramp, latestStepFraction)
        && hasAnswers(progress, verdict, moveAnswers);
    return isLate || (isCertain && progress.shareAge >= stepTime);
}

} // namespace foxtailring
