#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/AdmissionDecision.h"
#include "foxtailring/decisions/AdmissionRequest.h"
#include "foxtailring/decisions/ServerState.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Limits of one entry: client accounts, priorities, and queues bounded by deadline.
///
/// Thread-safe. Its lock comes after that of ServerTable and before the generation table (design
/// page, section 5). It calls nothing outside while it holds the lock.
class AdmissionController
{
public:
    struct Settings
    {
        /// Longest wait in a queue, as a part of the time left until the deadline.
        double maxWaitShare = 0.5;
        /// Least part of that wait, for a request whose deadline is shorter than the mean run.
        double minWaitFraction = 0.2;
        /// Deadline of a request that has none.
        Duration defaultDeadline = std::chrono::seconds(60);
        /// Run time assumed before the first request of a service ended.
        Duration assumedRunTime = std::chrono::seconds(2);
        /// Size of the bucket for an account's requests per second. The balancer does not spread an
        /// account's requests evenly, so an entry's share needs room for a few at once.
        double minBurst = 4;
        double burstSeconds = 2;
        /// Bounds of the advised time to retry.
        Duration minRetryAfter = std::chrono::seconds(1);
        Duration maxRetryAfter = std::chrono::seconds(60);
        /// Work given to servers above their capacity, so that none idles between two reports.
        double overcommitFactor = 1.1;
        /// Part of the capacity reported free that this entry may use above its share.
        double borrowFraction = 0.25;
        /// Capacity of a server that has not reported yet.
        std::uint32_t assumedCapacity = 8;
        /// Bound on the memory of a service's queue; deadlines normally keep it far shorter.
        std::size_t maxQueued = 20000;
    };

    AdmissionController();
    explicit AdmissionController(Settings settings);
    ~AdmissionController();
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController &operator=(const AdmissionController &) = delete;

    /// \brief Entries that share the limits of client accounts, this one included.
    void setLiveEntries(std::uint32_t entries);
    /// \brief Derives the service's concurrency limit from its servers.
    ///
    /// Live ones that are followed count with their capacity, leaving ones with the work that this
    /// entry still has there, others not at all.
    /// \param servers ServerTable::servers(), or only the candidates
    /// \param sharingEntries entries that send to the same servers, this one included
    void updateCapacity(std::string_view service, std::span<const ServerState> servers,
                        std::uint32_t sharingEntries);
    /// \brief Sets the service's concurrency limit at this entry; 0 refuses all new work.
    void setConcurrencyLimit(std::string_view service, std::uint32_t limit);
    /// \brief Part of the limit left to new work, from ResumeAdmission::newWorkShare().
    void setNewWorkShare(std::string_view service, double share);

    /// \brief Starts, queues or refuses a request at once.
    ///
    /// Call startReady() after release(), expire() and changes of a limit, and expire() several
    /// times a second.
    AdmissionDecision submit(const AdmissionRequest &request, TimePoint now);
    /// \brief Ends a running request, or withdraws a queued one. Unknown tickets are ignored.
    void release(Ticket ticket, TimePoint now);
    /// \brief Queued tickets that may start now, in the order in which they should.
    std::vector<Ticket> startReady(TimePoint now);
    /// \brief Queued tickets that cannot start in time any more; each must be answered at once.
    std::vector<ExpiredTicket> expire(TimePoint now);

    /// \brief Mean time between start and release() of the service's recent requests.
    Duration meanRunTime(std::string_view service) const;
    std::uint32_t concurrencyLimit(std::string_view service) const;
    std::size_t running(std::string_view service) const;
    std::size_t queued(std::string_view service) const;

private:
    struct State;

    const Settings m_settings;
    mutable std::mutex m_mutex;
    std::unique_ptr<State> m_state;
};

} // namespace foxtailring
