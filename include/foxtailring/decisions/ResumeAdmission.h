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
        /// For each service, over all entries: about 10 for each live server. A rate near the
        /// servers' prefill rate adds the wait here to the one at the engines (bench-policy,
        /// zone-loss: at 1.5 for each server 55% instead of 70% resumed within 4 s).
        double resumesPerSecond = 200;
        /// Seconds' worth of resumes that start at once after a quiet time; at least one an entry.
        double burstSeconds = 0.1;
        /// Longest random delay of a resume that finds the burst used up.
        Duration maxJitter = std::chrono::milliseconds(250);
        /// Share of the usual limit left to new work while resumes wait.
        double newWorkShare = 0.25;
        /// Time in which the share returns to 1 after the last waiting resume started.
        Duration recoveryTime = std::chrono::seconds(2);
    };

    ResumeAdmission();
    explicit ResumeAdmission(Settings settings);

    /// \brief Entries that share each service's rate, this one included.
    void setLiveEntries(std::uint32_t entries);
    /// \brief Sets the rate of one service over all entries, per second.
    void setRate(std::string_view service, double resumesPerSecond);

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
        TimePoint earliestStart;
    };
    struct ServiceQueue
    {
        double resumesPerSecond = 0; ///< over all entries
        double tokens = 0;
        std::optional<TimePoint> refilledAt; ///< none: the bucket was never used and is full
        std::vector<Waiting> waiting;        ///< by priority, then order of submission
        std::optional<TimePoint> emptiedAt;
    };

    ServiceQueue &queue(std::string_view service);
    double rate(const ServiceQueue &queue) const;
    double maxTokens(const ServiceQueue &queue) const;
    void refill(ServiceQueue &queue, TimePoint now) const;
    void takeReadyFrom(ServiceQueue &queue, TimePoint now, std::vector<std::string> &ready) const;
    TimePoint readyAt(const ServiceQueue &queue, TimePoint now) const;

    const Settings m_settings;
    mutable std::mutex m_mutex;
    std::uint32_t m_entries = 1;
    std::map<std::string, ServiceQueue, std::less<>> m_queues;
};

} // namespace foxtailring
