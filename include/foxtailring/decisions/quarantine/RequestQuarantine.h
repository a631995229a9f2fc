#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/membership/ReporterClocks.h"
#include "foxtailring/decisions/membership/ReportReception.h"
#include "foxtailring/decisions/quarantine/CrashAttribution.h"
#include "foxtailring/decisions/quarantine/CrashEvidence.h"
#include "foxtailring/decisions/quarantine/CrashReport.h"
#include "foxtailring/decisions/quarantine/SuspectStarts.h"
#include "foxtailring/decisions/quarantine/SuspectTable.h"
#include "foxtailring/decisions/servers/EngineFailures.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
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

/// \brief Finds what requests that crash servers have in common, and keeps such requests from the
/// servers.
///
/// Suspects of a request are its prompt parts and, last, the request as a whole (RequestDigest). A
/// crash makes suspect those of the requests that the server had not begun to answer; a request
/// that a server does answer clears all its suspects. A suspect of several crashes, at different
/// moments and servers, is quarantined; of several such suspects, the one with the fewest recent
/// starts. Requests are rejected that have all suspects which are no less likely the cause. When
/// many servers fail at once, only one that was at most of them is suspect. No process sees all
/// crashes, so they exchange reports. Not thread-safe; used on one queue.
class RequestQuarantine
{
public:
    struct Settings
    {
        /// Crashes that make a quarantine of a prompt part. Those within \a minCrashInterval are
        /// one moment and count once.
        std::size_t crashThreshold = 2;
        Duration minCrashInterval = std::chrono::milliseconds(700);
        Duration evidenceLifetime = std::chrono::seconds(60);
        /// How long a suspect is quarantined; doubles each time that it crashes a server again.
        Duration minQuarantine = std::chrono::seconds(20);
        Duration maxQuarantine = std::chrono::minutes(10);
        /// At the end, one process tries the suspect first; the others follow after this time.
        Duration trialTime = std::chrono::seconds(15);
        std::size_t maxSuspects = 1024;   ///< in quarantine or not
        std::size_t maxQuarantines = 256; ///< those that other processes report are not taken over
    };

    /// \brief Called when a quarantine begins or ends. All are optional.
    struct Hooks
    {
        /// \a evidence names what showed the crashes; empty: another process has seen them.
        std::function<void(const std::string &suspect, std::size_t crashes,
                           std::string_view evidence, Duration time)>
            onQuarantined;
        std::function<void(const std::string &suspect, std::string_view cause)> onReleased;
        /// How long a report waits that only clears a suspect of other processes: one of those that
        /// see it clears it for all.
        std::function<Duration()> clearingDelay;
        /// Whether this process tries a suspect first when its quarantine ends.
        std::function<bool(std::string_view suspect)> isTrialOwner;
        /// More time for which a report on suspects of one crash each waits when many servers fail
        /// at once: all processes see that at the same time.
        std::function<Duration()> massFailureDelay = nullptr;
    };

    using Suspects = CrashAttribution::Suspects;

    RequestQuarantine();
    explicit RequestQuarantine(Settings settings);

    void setHooks(Hooks hooks) { m_hooks = std::move(hooks); }
    /// \brief Sets what is added to a time of this process to get the Unix time of a report.
    void setUnixOffset(std::chrono::milliseconds offset);

    /// \brief A server failed, whatever it was doing.
    void recordFailure(const std::string &incarnation, const std::string &service, TimePoint at,
                       TimePoint now)
    {
        m_failures.record(incarnation, service, at, now);
    }
    void recordFailure(const std::string &incarnation, TimePoint now)
    {
        recordFailure(incarnation, {}, now, now);
    }
    /// \brief The server looked as if it had failed, but it is sound.
    void withdrawFailure(const std::string &incarnation) { m_failures.withdraw(incarnation); }

    /// When a server crashed, and what shows it.
    struct ProvenCrash
    {
        std::string service; ///< of the server
        TimePoint at;
        CrashEvidence evidence = CrashEvidence::Reset;
        std::size_t askedPeers = 0;           ///< servers in its zone
        std::vector<std::string> failedPeers; ///< incarnations of those that had failed, too
    };
    /// \brief The server crashed before it had begun to answer a request with these suspects.
    void recordCrash(const std::string &incarnation, Suspects suspects, const ProvenCrash &crash,
                     TimePoint now);
    void recordCrash(const std::string &incarnation, Suspects suspects, TimePoint now)
    {
        recordCrash(incarnation, suspects, {{}, now, CrashEvidence::Reset, 0, {}}, now);
    }
    /// \brief The server has not crashed: what this process has seen of it accuses no suspect any
    /// more. What others report stays theirs to withdraw.
    void withdrawCrash(std::string_view incarnation);
    /// \brief A server has answered a request with these suspects, or has begun to and went on.
    void recordStart(Suspects suspects, TimePoint now);
    enum class Admission : std::uint8_t {
        Admitted, ///< no suspect is quarantined
        Trial,    ///< may be sent once, to try a suspect whose quarantine has ended
        Rejected,
    };

    /// \brief Decides on a new request.
    Admission admit(Suspects suspects, TimePoint now);
    /// \brief Returns the first suspect that is quarantined; empty: none.
    std::string_view quarantinedSuspect(Suspects suspects, TimePoint now) const;

    /// \brief Adds what another process, or this one before its restart, has reported.
    void applyReport(const CrashReport &report, TimePoint now,
                     const ReportReception &reception = {});
    /// \brief Report of this process, if it must be published now. Counts as published.
    /// \param mayTellLoneSuspects false: only crashes are told that share a suspect which has not
    /// been answered lately; the others wait
    std::optional<CrashReport> takeDueReport(TimePoint now, bool mayTellLoneSuspects = true);
    /// \brief The latest report was not published.
    void onReportNotPublished();
    bool wantsReport(TimePoint now) const { return now >= m_reportAt; }
    /// \brief Forgets old evidence and ends quarantines whose time is over, at intervals.
    void expire(TimePoint now);

    /// \brief Number of suspects, in quarantine or not.
    std::size_t size() const { return m_suspects.size(); }
    std::size_t quarantineCount() const;

private:
    using Crash = SuspectRecord::Crash;
    using Crashes = SuspectRecord::Crashes;
    using Incarnations = std::set<std::string, std::less<>>; ///< starts of servers

    /// \param sighting of the crash; its position is left out
    void addCrash(const std::string &incarnation, Suspects suspects, const Crash &sighting,
                  TimePoint now);
    void addReportedCrash(const CrashReport::Crash &crash, const ReporterClock &clock,
                          TimePoint now);
    /// \brief Remembers which suspects came in one request.
    void addRequest(std::span<const std::string> suspects);
    void updateQuarantines(Suspects suspects, TimePoint now);
    /// \brief True if the suspect is at several crashes and has not been answered lately.
    bool isDeciding(const std::string &suspect, const SuspectRecord &record, TimePoint now) const;
    void requestCrashReport(Suspects suspects, const ProvenCrash &crash, TimePoint now);
    /// \brief False if a start since has cleared the suspect of the crash.
    bool mayBeDueTo(const std::string &suspect, SuspectRecord &record, const Crash &sighting,
                    TimePoint now);
    void addStart(const std::string &suspect, SuspectRecord &record, TimePoint at, bool isOwn);
    /// \brief A start clears a quarantined part: what it was quarantined for is left to the
    /// requests that were at all its crashes.
    void bequeath(const std::string &part, const SuspectRecord &record);
    void inheritQuarantines(TimePoint now);
    void adoptQuarantine(const CrashReport::Quarantine &reported, const ReporterClock &clock,
                         TimePoint now);
    /// \brief Adds the servers that crashed under the suspect.
    static void addIncarnations(const SuspectRecord &record, Incarnations &incarnations);
    /// \brief Updates the quarantine of each suspect of these crashes.
    void updateSuspectsOf(const Incarnations &incarnations, TimePoint now);
    void updateQuarantine(const std::string &suspect, SuspectRecord &record, TimePoint now);
    bool mayTry(const std::string &suspect, const SuspectRecord::Quarantine &quarantine,
                TimePoint now) const;
    bool isRejecting(const std::string &suspect, const SuspectRecord &record, Suspects request,
                     TimePoint now) const;
    bool isQuarantined(const SuspectRecord &record, TimePoint now) const;
    void quarantine(const std::string &suspect, SuspectRecord &record, TimePoint now);
    /// \brief Tells the hook, and the other processes if this one saw a crash.
    void announce(const std::string &suspect, const SuspectRecord &record, Duration time,
                  TimePoint now);
    void release(const std::string &suspect, SuspectRecord &record, std::string_view cause);
    void requestReport(TimePoint at) { m_reportAt = std::min(m_reportAt, at); }
    std::int64_t toReportMs(TimePoint time) const;

    const Settings m_settings;
    Hooks m_hooks;
    EngineFailures m_failures; ///< of all servers
    SuspectTable m_suspects;
    SuspectStarts m_starts;
    const CrashAttribution m_attribution;
    std::map<std::string, SuspectRecord::Quarantine, std::less<>> m_inherited; ///< by request
    ReporterClocks m_reporterClocks;
    std::chrono::milliseconds m_unixOffset {0};
    std::optional<std::chrono::milliseconds> m_reportOffset; ///< of the clock of own reports
    CrashReport m_published;
    TimePoint m_reportAt = TimePoint::max(); ///< when the next report is due
    TimePoint m_expiredAt;                   ///< latest walk of expire()
    bool m_isReportUrgent = false;           ///< the next report is not put off
    TimePoint m_takenAt;           ///< when the latest report was made, unless it was not published
    TimePoint m_previousTakenAt;   ///< of the one before
    bool m_isReportPutOff = false; ///< it waits for the clearing of its suspects
};

} // namespace foxtailring
