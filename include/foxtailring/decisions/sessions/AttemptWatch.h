#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/BackendState.h"
#include "foxtailring/decisions/servers/ReportedStart.h"
#include "foxtailring/decisions/servers/ServerProbeResult.h"
#include "foxtailring/decisions/sessions/ForwardAction.h"
#include "foxtailring/decisions/sessions/RunProgress.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace foxtailring {

class AdmittedPlacer;
struct ForwardContext;
struct ForwardRequest;
struct HttpRoute;

/// \brief Watches the server of a run's current attempt: when it is probed, what its reports show
/// about the attempt, and when the attempt counts as silent.
class AttemptWatch
{
public:
    /// \brief What is known about the attempt.
    enum class Finding : std::uint8_t {
        Open,       ///< nothing new yet
        Working,    ///< its server works
        Silent,     ///< its server shows no sign of it, or not in time
        Unanswered, ///< its server does not answer the probe
        Restarted,  ///< its server has started anew, so the run is lost
        Unlisted,   ///< its server does not work on it now, but may do so later
    };
    using Step = std::variant<ProbeServers, Finding>;

    /// \param service may change
    /// \param canBeProbed the engines report their load and runs; the parameters before it must
    /// outlive the object
    AttemptWatch(const ForwardContext &context, const HttpRoute &route,
                 const ForwardRequest &request, const std::string &service,
                 AdmittedPlacer &admittedPlacer, bool canBeProbed);

    /// \brief A new attempt is sent.
    /// \param isResumed it resumes from a copy
    void start(bool isResumed, TimePoint now);
    /// \brief An earlier attempt with this progress is the current one again.
    void resume(const RunProgress &progress);
    /// \brief The attempt was not watched for some time, so it is probed before it is given up.
    void requireProbe() { m_state.isUnwatched = true; }
    /// \brief The attempt sent its next event.
    void recordEvent(TimePoint now);
    /// \brief Bytes of an event arrived that is not complete yet.
    void recordPartialEvent(TimePoint now) { m_progress.recordPartialEvent(now); }
    const RunProgress &progress() const { return m_progress; }

    /// \brief When check() is due.
    TimePoint dueAt(TimePoint sentAt) const;
    /// \brief Returns the probe of the server, or what the silence shows.
    Step check(const BackendState &server, TimePoint sentAt, TimePoint now);
    /// \brief True while a probe of the server is in progress.
    bool isProbing() const { return m_state.isProbing; }
    /// \brief The probe of the server is over.
    /// \param lastEventId latest event that arrived, of any attempt; 0: none
    Finding onProbed(const BackendState &server, std::span<const ServerProbeResult> reports,
                     std::int64_t lastEventId, TimePoint now);

    /// \brief The attempt goes on although its server is silent. It is checked again a little
    /// later.
    void keepSilent(TimePoint now);
    /// \brief The attempt is over or replaced.
    void endKeeping() { m_state.keptUntil = {}; }
    /// \brief True if the server may still be sound in spite of its silence.
    /// \param hasStarted the caller has a part of the answer
    bool mayOutlastSilence(bool hasStarted, TimePoint now) const;

private:
    /// \brief What the probes of the current attempt have shown. Starts anew with each change of
    /// the attempt.
    struct ProbeState
    {
        bool isProbing = false;
        TimePoint probedAt;
        /// The attempt was the fallback, which is not probed.
        bool isUnwatched = false;
        bool isStartUnconfirmed = false; ///< by the latest report
        TimePoint keptUntil;             ///< not checked before then; 0: it is not kept
    };

    bool isKeptSilent() const { return m_state.keptUntil != TimePoint {}; }
    /// When the attempt is given up although its server answers probes.
    TimePoint stuckAt(TimePoint sentAt) const;
    bool isPresumedLost(const BackendState &server, TimePoint now) const;
    ReportedStart reportedStart(const BackendState &server, TimePoint now) const;
    Finding judge(const BackendState &server, const ServerProbeResult &report,
                  std::int64_t lastEventId, TimePoint now);
    Finding recordMissing(const ServerProbeResult &report, TimePoint now);
    Finding recordWorking(TimePoint now);

    const ForwardContext &m_context;
    const ForwardRequest &m_request;
    const std::string &m_service;
    AdmittedPlacer &m_admittedPlacer;
    const bool m_canBeProbed;
    RunProgress m_progress;
    ProbeState m_state;
};

} // namespace foxtailring
