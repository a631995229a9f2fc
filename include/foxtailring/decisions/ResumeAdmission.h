#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

class RandomSource;

/// \brief Paces resumes after a loss: ahead of new work, but rate-limited and jittered.
///
/// A resume keeps its admission ticket, so it passes here only. Thread-safe; its lock is a leaf: no
/// other lock is taken while it is held.
class ResumeAdmission
{
public:
    struct Settings
    {
        double resumesPerSecond = 50; ///< for each service, of this entry
        double burst = 10;            ///< resumes that start at once after a quiet time
        /// Longest random delay of a resume that finds the burst used up.
        Duration jitter = std::chrono::milliseconds(250);
        /// Share of the usual limit left to new work while resumes wait.
        double newWorkShare = 0.25;
        /// Time in which the share returns to 1 after the last waiting resume started.
        Duration recovery = std::chrono::seconds(2);
    };

    ResumeAdmission();
    explicit ResumeAdmission(Settings settings);

    /// \brief Adds a resume. It waits until takeReady() names it.
    void submit(std::string_view service, std::string requestId, std::uint32_t priority,
                TimePoint now, RandomSource &random);
    /// \brief Removes a waiting resume whose caller went away.
    void cancel(std::string_view requestId, TimePoint now);
    /// \brief Resumes that may start now, by priority, then in order of submission.
    std::vector<std::string> takeReady(TimePoint now);
    /// \brief Earliest time at which takeReady() returns something; none when nothing waits.
    std::optional<TimePoint> nextReadyAt(TimePoint now) const;

    std::size_t waiting(std::string_view service) const;
    /// \brief Part of the usual limit that new work of \a service may use, in (0, 1].
    double newWorkShare(std::string_view service, TimePoint now) const;

private:
    struct Waiting
    {
        std::string requestId;
        std::uint32_t priority = 0;
        TimePoint notBefore;
    };
    struct Wave
    {
        double tokens = 0;
        TimePoint refilledAt;
        std::vector<Waiting> waiting; ///< by priority, then order of submission
        std::optional<TimePoint> drainedAt;
    };

    void refill(Wave &wave, TimePoint now) const;
    void takeFrom(Wave &wave, TimePoint now, std::vector<std::string> &ready) const;
    TimePoint readyAt(const Wave &wave, TimePoint now) const;

    const Settings m_settings;
    mutable std::mutex m_mutex;
    std::map<std::string, Wave, std::less<>> m_waves;
};

} // namespace foxtailring
