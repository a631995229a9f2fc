#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/admission/AdmissionDecision.h"
#include "foxtailring/decisions/admission/AdmissionRequest.h"
#include "foxtailring/decisions/servers/ServerState.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <span>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Admission control of one entry: concurrency limits by service, limits by client account,
/// and priority queues with deadlines.
///
/// Thread-safe. Lock order: ConfigState, ServerTable, AdmissionController, generation table. No
/// callbacks run under its lock.
class AdmissionController
{
public:
    struct Settings
    {
        /// Longest wait in a queue, as a fraction of the time left until the deadline.
        double maxWaitShare = 0.5;
        /// Fraction of that wait which a request keeps even if its deadline leaves less than the
        /// mean run time.
        double minWaitFraction = 0.2;
        /// Time limit of a request without a deadline.
        Duration defaultDeadline = std::chrono::seconds(60);
        /// Run time assumed until the first request of a service has ended.
        Duration assumedRunTime = std::chrono::seconds(2);
        /// Token bucket size for an account's request rate: minBurstRequests requests, or
        /// burstSeconds of the rate if that is more. The load balancer spreads an account's
        /// requests unevenly, so an entry's share of the rate must allow a few at once.
        double minBurstRequests = 4;
        double burstSeconds = 2;
        /// Bounds of the suggested retry delay, before the jitter of up to a quarter.
        Duration minRetryAfter = std::chrono::seconds(1);
        Duration maxRetryAfter = std::chrono::seconds(60);
        /// Work admitted per unit of server capacity; above 1, so that no server is idle between
        /// two load reports.
        double overcommitFactor = 1.1;
        /// Fraction of the free capacity that this entry may use in addition to its own work, even
        /// above its share.
        double borrowFraction = 0.25;
        /// Capacity of a server that has not reported yet, in concurrent requests.
        std::uint32_t assumedCapacity = 8;
        /// Limit on the requests queued for a service, which bounds memory. Deadlines normally keep
        /// the queue far shorter.
        std::size_t maxQueued = 20000;
    };

    AdmissionController();
    explicit AdmissionController(Settings settings);
    ~AdmissionController();
    AdmissionController(const AdmissionController &) = delete;
    AdmissionController &operator=(const AdmissionController &) = delete;

    /// \brief Sets the number of entries that share the limits of client accounts, including this
    /// one.
    void setLiveEntries(std::uint32_t entries);
    /// \brief Sets the service's concurrency limit from the state of its servers.
    ///
    /// A live server in this entry's subset counts with its capacity, a leaving one with the work
    /// that this entry still has there, any other not at all.
    /// \param servers ServerTable::servers(), or only the candidates
    /// \param sharingEntries entries that send to the same servers, including this one
    void updateCapacity(std::string_view service, std::span<const ServerState> servers,
                        std::uint32_t sharingEntries);
    /// \brief Sets the service's concurrency limit at this entry; 0 refuses all new work.
    void setConcurrencyLimit(std::string_view service, std::uint32_t limit);
    /// \brief Sets the fraction of the limit that is left to new work. See
    /// ResumeAdmission::newWorkShare().
    void setNewWorkShare(std::string_view service, double share);

    /// \brief Starts, queues or refuses a request; does not block.
    ///
    /// Call startReady() after release(), after expire() and after a change of a limit, and call
    /// expire() several times a second.
    AdmissionDecision submit(const AdmissionRequest &request, TimePoint now);
    /// \brief Ends a running request or removes a queued one. Ignores unknown tickets.
    void release(Ticket ticket, TimePoint now);
    /// \brief Starts the queued requests that fit under the limits. Returns their tickets in the
    /// order to start them.
    std::vector<Ticket> startReady(TimePoint now);
    /// \brief Removes the queued requests that can no longer start in time. Each must be answered
    /// at once.
    std::vector<ExpiredTicket> expire(TimePoint now);

    /// \brief Moving average of the time between start and release() of the service's requests.
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
