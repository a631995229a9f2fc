#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/CrashEvidence.h"
#include "foxtailring/decisions/EngineFailures.h"
#include "foxtailring/decisions/PromptCrashReport.h"
#include "foxtailring/decisions/RecentStarts.h"
#include "foxtailring/decisions/ReporterClocks.h"
#include "foxtailring/decisions/ReportReception.h"
#include "foxtailring/decisions/TimeBounds.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Finds prompt parts that crash each engine that begins to answer a request with them, and
/// keeps such requests from the engines.
///
/// A crash makes suspect each part of the requests that the engine had not begun to answer; a
/// request that an engine does begin to answer clears all its parts. A part that is suspect in
/// several crashes, at different moments and engines, without being cleared is quarantined; of
/// several such parts, the one with the fewest recent starts. Requests are rejected that have all
/// parts which are no less likely the cause. When
/// many engines fail at once, only a part that was at most of them is suspect. No process sees all
/// crashes, so they exchange reports. Not thread-safe; used on one queue.
class PromptQuarantine
{
public:
    struct Settings
    {
        /// Crashes that make a quarantine. Those within \a minCrashInterval are one moment and
        /// count once.
        std::size_t crashThreshold = 2;
        Duration minCrashInterval = std::chrono::milliseconds(700);
        Duration evidenceLifetime = std::chrono::seconds(60);
        /// How long a part is quarantined; doubles each time that it crashes an engine again.
        Duration minQuarantine = std::chrono::seconds(20);
        Duration maxQuarantine = std::chrono::minutes(10);
        /// At the end, one process tries the part first; the others follow after this time.
        Duration trialTime = std::chrono::seconds(15);
        std::size_t maxParts = 256; ///< under suspicion or in quarantine
    };

    /// \brief Called when a quarantine begins or ends. All are optional.
    struct Hooks
    {
        /// \a evidence names what showed the crashes; empty: another process has seen them.
        std::function<void(const std::string &part, std::size_t crashes, std::string_view evidence,
                           Duration time)>
            onQuarantined;
        std::function<void(const std::string &part, std::string_view cause)> onReleased;
        /// How long a report waits that only clears a part which other processes suspect: one of
        /// those that see it clears it for all.
        std::function<Duration()> clearingDelay;
        /// Whether this process tries a part first when its quarantine ends.
        std::function<bool(std::string_view part)> isTrialOwner;
    };

    using Parts = std::span<const std::string>; ///< of a request, in the order of its prompt

    PromptQuarantine();
    explicit PromptQuarantine(Settings settings);

    void setHooks(Hooks hooks) { m_hooks = std::move(hooks); }
    /// \brief Sets what is added to a time of this process to get the Unix time of a report.
    void setUnixOffset(std::chrono::milliseconds offset);

    /// \brief An engine failed, whatever it was doing.
    void recordFailure(const std::string &incarnation, TimePoint at, TimePoint now)
    {
        m_failures.record(incarnation, at, now);
    }
    void recordFailure(const std::string &incarnation, TimePoint now)
    {
        recordFailure(incarnation, now, now);
    }
    /// \brief The engine looked as if it had failed, but it is sound.
    void withdrawFailure(const std::string &incarnation) { m_failures.withdraw(incarnation); }

    /// When an engine crashed, and what shows it.
    struct ProvenCrash
    {
        TimePoint at;
        CrashEvidence evidence = CrashEvidence::Reset;
        std::size_t askedPeers = 0;           ///< engines in its zone
        std::vector<std::string> failedPeers; ///< incarnations of those that had failed, too
    };
    /// \brief The engine crashed before it had begun to answer a request with these parts.
    void recordCrash(const std::string &incarnation, Parts parts, const ProvenCrash &crash,
                     TimePoint now);
    void recordCrash(const std::string &incarnation, Parts parts, TimePoint now)
    {
        recordCrash(incarnation, parts, {now, CrashEvidence::Reset, 0, {}}, now);
    }
    /// \brief The engine has not crashed: what this process has seen of it accuses no part any
    /// more. What others report stays theirs to withdraw.
    void withdrawCrash(std::string_view incarnation);
    /// \brief The engine has begun to answer a request with these parts, and went on.
    void recordStart(Parts parts, TimePoint now);
    enum class Admission : std::uint8_t {
        Admitted, ///< no part is quarantined
        Trial,    ///< may be sent once, to try a part whose quarantine has ended
        Rejected,
    };

    /// \brief Decides on a new request.
    Admission admit(Parts parts, TimePoint now);
    /// \brief Returns the first part that is quarantined; empty: none.
    std::string_view quarantinedPart(Parts parts, TimePoint now) const;

    /// \brief Adds what another process, or this one before its restart, has reported.
    void applyReport(const PromptCrashReport &report, TimePoint now,
                     const ReportReception &reception = {});
    /// \brief Report of this process, if it must be published now. Counts as published.
    std::optional<PromptCrashReport> takeDueReport(TimePoint now);
    /// \brief The latest report was not published.
    void onReportNotPublished();
    bool wantsReport(TimePoint now) const { return now >= m_reportAt; }
    /// \brief Forgets old evidence and ends quarantines whose time is over.
    void expire(TimePoint now);

    /// \brief Number of parts under suspicion or in quarantine.
    std::size_t size() const { return m_records.size(); }
    std::size_t quarantineCount() const;

private:
    struct Crash
    {
        TimeBounds at;
        std::size_t position = 0; ///< of the part among the parts of its request
        bool isOwn = false;       ///< seen by this process
        CrashEvidence evidence = CrashEvidence::Reported;
        std::size_t askedPeers = 0;           ///< by this process, in the zone of the engine
        std::vector<std::string> failedPeers; ///< incarnations of those that had failed, too
        bool isZoneFailure = false;           ///< by the reports of other processes
    };
    using Crashes = std::map<std::string, Crash, std::less<>>; ///< by incarnation

    struct Record
    {
        Crashes crashes; ///< since the last start
        TimePoint startedAt;
        bool isOwnStart = false; ///< seen by this process
        bool isInQuarantine = false;
        bool hasRejected = false; ///< a request of this process
        TimePoint quarantinedSince;
        TimePoint quarantinedUntil;
        TimePoint trialUntil; ///< a request that tries the part is in progress
        std::uint32_t quarantineCount = 0;
    };
    using Records = std::map<std::string, Record, std::less<>>;

    struct SuspectsOfCrash
    {
        TimePoint at;
        std::multimap<std::size_t, std::string> parts; ///< by position
        bool isZoneFailure = true;                     ///< as to each of them
    };

    /// \param sighting of the crash; its position is left out
    void addCrash(const std::string &incarnation, Parts parts, const Crash &sighting,
                  TimePoint now);
    static void addSighting(Crash &crash, const Crash &sighting);
    static std::string evidenceText(const Record &record);
    Record *recordFor(const std::string &part);
    void addStart(const std::string &part, Record &record, TimePoint at, bool isOwn);
    void adoptQuarantine(const PromptCrashReport::Quarantine &reported, const ReporterClock &clock,
                         TimePoint now);
    void updateAllQuarantines(TimePoint now);
    void updateQuarantine(const std::string &part, Record &record, TimePoint now);
    /// The record that makes room for a new one; end: none may.
    Records::iterator leastSuspect();
    std::size_t crashCount(const Record &record) const;
    bool isAtMostFailures(const Record &record, TimeBounds at) const;
    static bool isZoneFailure(const Record &record, const Crash &crash);
    bool isExplained(const std::string &part, const Record &record, TimePoint now) const;
    bool isAccused(const std::string &part, const Record &record, Parts request,
                   TimePoint now) const;
    bool isRejecting(const std::string &part, const Record &record, Parts request,
                     TimePoint now) const
    {
        return isQuarantined(record, now) && isAccused(part, record, request, now);
    }
    /// Order of magnitude of the recent starts with a part; 0: none.
    int startLevel(const std::string &part, const Record &record, TimePoint now) const;
    void quarantine(const std::string &part, Record &record, TimePoint now);
    void release(const std::string &part, Record &record, std::string_view cause);
    bool isQuarantined(const Record &record, TimePoint now) const;
    static TimePoint latestCrash(const Record &record);
    PromptCrashReport currentReport() const;
    std::int64_t toReportMs(TimePoint time) const;

    const Settings m_settings;
    Hooks m_hooks;
    EngineFailures m_failures; ///< of all engines
    Records m_records;
    RecentStarts m_recentStarts;
    ReporterClocks m_reporterClocks;
    std::chrono::milliseconds m_unixOffset {0};
    std::optional<std::chrono::milliseconds> m_reportOffset; ///< of the clock of own reports
    PromptCrashReport m_published;
    TimePoint m_reportAt = TimePoint::max(); ///< when the next report is due
};

} // namespace foxtailring
