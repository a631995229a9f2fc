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

/// \brief Paces the resumes of interrupted generations with a rate limit and jitter, and starts
/// them before new work.
///
/// A resume keeps its admission ticket, so it does not pass AdmissionController again. Thread-safe;
/// its lock is a leaf: no other lock is taken while it is held.
class ResumeAdmission
{
public:
    struct Settings
    {
        /// Rate of each service over all entries, about 10 per live server. At a rate near the
        /// servers' prefill rate, resumes wait here as well as at the engines: after the loss of a
        /// zone, 1.5 per server resumes 55% within 4 s instead of 70%.
        double resumesPerSecond = 200;
        /// Token bucket size in seconds of the rate, but at least one resume per entry. These start
        /// without delay after an idle time.
        double burstSeconds = 0.1;
        /// Longest random delay of a resume that finds no token left for it.
        Duration maxJitter = std::chrono::milliseconds(250);
        /// Fraction of the concurrency limit left to new work while resumes wait.
        double newWorkShare = 0.25;
        /// Time in which that fraction returns to 1 after the last waiting resume has started.
        Duration recoveryTime = std::chrono::seconds(2);
    };

    ResumeAdmission();
    explicit ResumeAdmission(Settings settings);

    /// \brief Sets the number of entries that share each service's rate, including this one.
    void setLiveEntries(std::uint32_t entries);
    /// \brief Sets the rate of one service, summed over all entries.
    void setRate(std::string_view service, double resumesPerSecond);

    /// \brief Queues a resume until takeReady() returns it.
    /// \param priority 0 is the highest
    void submit(std::string_view service, std::string requestId, std::uint32_t priority,
                TimePoint now, RandomSource &random);
    /// \brief Removes a waiting resume, as when its caller has disconnected.
    void cancel(std::string_view requestId, TimePoint now);
    /// \brief Removes and returns the resumes that may start now, for each service by priority and
    /// then in order of submission.
    std::vector<std::string> takeReady(TimePoint now);
    /// \brief Earliest time at which takeReady() returns a resume; none when none waits.
    std::optional<TimePoint> nextReadyAt(TimePoint now) const;

    std::size_t waiting(std::string_view service) const;
    /// \brief Fraction of the concurrency limit that new work of \a service may use, in (0, 1].
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
        std::optional<TimePoint> refilledAt; ///< none: never used, so the bucket is full
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
