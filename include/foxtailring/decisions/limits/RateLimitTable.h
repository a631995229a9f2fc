#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/limits/DemandEstimator.h"
#include "foxtailring/decisions/limits/RateApportionment.h"
#include "foxtailring/decisions/limits/RateLimitExplanation.h"
#include "foxtailring/decisions/limits/RateLimitPublication.h"
#include "foxtailring/decisions/limits/RateLimitReport.h"
#include "foxtailring/decisions/limits/RateLimitReportChange.h"
#include "foxtailring/decisions/limits/RequestWindow.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

struct BackendAnswer;

/// \brief Rate limits that backend servers name, and this process's share of each.
///
/// A limit holds for the requests of all processes together. The processes exchange reports of the
/// limits that they know and of their demand, and each divides a limit by the same rule. Not
/// thread-safe; used on one queue.
class RateLimitTable
{
public:
    struct Settings
    {
        std::string processId;
        /// Any change of a report has reached every process by then.
        Duration reportDelay = std::chrono::milliseconds(2500);
    };

    /// \brief Called when a limit begins or ends. All are optional.
    struct Hooks
    {
        std::function<void(std::string_view serverId, double limit)> onLimited;
        std::function<void(std::string_view serverId, std::string_view cause)> onUnlimited;
    };

    explicit RateLimitTable(Settings settings);

    void setHooks(Hooks hooks) { m_hooks = std::move(hooks); }

    /// \brief An answer of the server itself arrived.
    /// \param sentAt when the request that it answers was sent
    void recordAnswer(std::string_view serverId, const BackendAnswer &answer, TimePoint sentAt,
                      TimePoint now);
    /// \brief Replaces the reports of all processes, this one included.
    void replaceReports(std::span<const RateLimitReportChange> reports, TimePoint now);
    /// \brief Applies changes, of this process's report too, that the store returned together.
    void applyReports(std::span<const RateLimitReportChange> changes, TimePoint now);
    /// \brief The store was restored from a backup and has \a reports, which may be older than
    /// those known here. These are kept until their processes have had time to write them again.
    void onStoreRestored(std::span<const RateLimitReportChange> reports, TimePoint now);
    /// \brief All reports up to \a confirmedAt are known.
    void recordConfirmation(TimePoint confirmedAt) { m_confirmedAt = confirmedAt; }

    /// \brief Sets the number of processes that may share a limit, at least 1.
    void setProcessCount(std::size_t count);

    /// \brief Counts a request to the server, and takes one from the share of this process. False
    /// if none is left; the request must not be sent.
    bool tryAcquire(std::string_view serverId, TimePoint now);
    bool isLimited(std::string_view serverId) const;
    /// \brief Earliest time at which tryAcquire() may succeed, as far as this process can tell.
    TimePoint freeAt(std::string_view serverId, TimePoint now);
    /// \brief The share of this process; none if the server names no limit.
    std::optional<RateLimitExplanation> explain(std::string_view serverId, TimePoint now);

    /// \brief Drops limits without recent evidence, and what is no longer needed.
    void expire(TimePoint now);
    /// \brief True if a report with entries must be published now.
    bool wantsReport(TimePoint now);
    /// \brief Report of this process, if it must be published now. Counts as published.
    std::optional<RateLimitReport> takeDueReport(TimePoint now);
    /// \brief The latest report was not published.
    void onReportNotPublished() { m_publication.requestRepeat(); }
    /// \brief True while this process's report must be kept in the store.
    bool hasReport() const { return !m_publication.isEmpty(); }

private:
    struct Raise
    {
        std::uint32_t quota = 0;
        TimePoint at;
    };

    /// What the reports say about a server.
    struct Sharing
    {
        bool isCurrent = false;
        std::vector<RateApportionment::Sharer> sharers;
        bool isSharer = false;             ///< this process is one of them
        std::optional<double> lowestLimit; ///< that another process reports
        std::uint32_t total = 0;           ///< requests of all sharers
        std::uint32_t share = 0;           ///< requests of this process among \a total
    };

    /// Requests that all processes may send in any window.
    struct Budget
    {
        std::uint32_t total = 0;
        Duration window {0};
    };

    struct Record
    {
        RequestWindow sent;
        DemandEstimator demand;
        bool isLimited = false;
        TimePoint limitedSince;
        TimePoint evidenceAt;             ///< latest answer or report that names the limit
        std::optional<TimePoint> endedAt; ///< end of the previous limit
        std::optional<double> namedLimit; ///< in an answer to this process
        TimePoint namedAt;
        /// Another process saw the end of the limit since namedAt, or shortly before.
        bool isEndReported = false;
        std::optional<std::uint32_t> quota;
        std::optional<Raise> raise;
        bool hasHadShare = false; ///< the quota was a known share before
        Sharing sharing;
    };
    using Records = std::map<std::string, Record, std::less<>>;
    using Limits = std::map<std::string, RateLimitReport::Entry, std::less<>>; ///< by server

    struct Division
    {
        Budget budget;
        double limit = 0;
        std::uint32_t quota = 0;
        std::size_t processes = 0;
        bool isShareKnown = false;
    };

    void startLimit(std::string_view serverId, Record &record, double limit, TimePoint now);
    void endLimit(std::string_view serverId, Record &record, std::string_view cause, TimePoint now);
    using ServerIds = std::set<std::string, std::less<>>;

    /// Adds the servers of the reports before and after the change to \a changed.
    void applyReport(const RateLimitReportChange &change, ServerIds &changed, TimePoint now);
    void updateQuotas(const ServerIds &serverIds, TimePoint now);
    void applyNewEntries(const Limits &before, const Limits &after, TimePoint now);
    void endLimitIfReported(std::string_view serverId, Record &record, TimePoint now);
    void applyDroppedEntries(const Limits &before, const Limits &after, TimePoint now);
    double limitOf(const Record &record, TimePoint now) const;
    /// Number of processes to divide a limit by while their reports are not known.
    std::size_t processesWithoutReports() const;
    /// Age at which the latest word of a limit is forgotten.
    Duration evidenceLifetime(std::string_view serverId, const Record &record, TimePoint now) const;
    Duration retryDelay(std::string_view serverId, const Record &record, TimePoint now) const;
    static Budget budgetFor(double limit);
    const Sharing &updateSharing(std::string_view serverId, Record &record) const;
    std::uint32_t shareOf(std::string_view serverId, Sharing &sharing, std::uint32_t total) const;
    Division divide(std::string_view serverId, Record &record, TimePoint now) const;
    std::uint32_t quotaFor(Record &record, const Division &division, TimePoint now) const;
    RateLimitReport currentReport(TimePoint now);
    Duration publishInterval() const;
    void expireUnconfirmedReports(TimePoint now);

    const Settings m_settings;
    Hooks m_hooks;
    Records m_records;
    std::map<std::string, Limits, std::less<>> m_reports; ///< by process
    /// Processes whose reports are not known to be in the store, since a restore at that time.
    std::map<std::string, TimePoint, std::less<>> m_unconfirmedReports;
    TimePoint m_confirmedAt;
    RateLimitPublication m_publication;
    std::size_t m_processCount = 1; ///< that may share a limit
};

} // namespace foxtailring
