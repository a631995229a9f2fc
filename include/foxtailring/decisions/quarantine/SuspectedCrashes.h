#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/quarantine/CrashEvidence.h"
#include "foxtailring/decisions/servers/BackendInfo.h"
#include "foxtailring/decisions/servers/BackendState.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailring {

class BackendTable;
class CrashChecks;
class RequestQuarantine;
struct CrashVerdict;
struct ServerProbeResult;

/// \brief Servers that fell silent before they had begun to answer a request, until it is known
/// whether they crashed.
///
/// A sound server may be silent for a second or so. So silence accuses no request by itself: it is
/// recorded as a crash only with proof, and forgotten when the same start of the server sends
/// anything. Before a crash is recorded, others in its zone are asked whether they failed with it,
/// as far as there are checks. Not thread-safe; used on one queue.
class SuspectedCrashes
{
public:
    using Suspects = std::span<const std::string>; ///< of a request, see RequestQuarantine

    /// A server that leaves a probe unanswered, sends nothing for this long and leaves another one
    /// unanswered has crashed. It is silent for about 2 s then; sound ones for 1.3 s at most.
    static constexpr std::chrono::milliseconds maxSoundSilence {1500};
    /// Between probes of a suspected server: one that pauses twice is asked between its pauses.
    static constexpr std::chrono::milliseconds probeInterval {500};
    static constexpr std::size_t maxServers = 64; ///< under suspicion

    /// \brief All are optional.
    struct Hooks
    {
        /// A crash was recorded; once for each start of a server.
        std::function<void(const BackendInfo &, CrashEvidence, const CrashVerdict &)> onCrash;
        /// A server that seemed to have crashed has not. \a sign is what it sent.
        std::function<void(const BackendInfo &, std::string_view sign)> onCleared;
    };

    /// \param quarantine gets the proven crashes; must outlive the object
    /// \param checks ask the zones of crashed servers; null: nobody is asked. Must outlive the
    /// object, which must outlive the checks in progress.
    explicit SuspectedCrashes(RequestQuarantine &quarantine, CrashChecks *checks = nullptr);

    void setHooks(Hooks hooks) { m_hooks = std::move(hooks); }

    /// \brief Names one start of a server.
    static std::string incarnationOf(const BackendInfo &server);

    /// \brief The server does not answer a probe of an attempt whose answer has not begun.
    /// A crash that is proven already accuses the request at once.
    /// \param silentSince last sign of life of the server
    /// \param sentAt when the attempt was sent; default: before any crash of the server
    void suspect(const BackendInfo &server, Suspects suspects, TimePoint silentSince, TimePoint now,
                 TimePoint sentAt = {});
    /// \brief The connection of an attempt ended before its answer began, which proves a crash
    /// unless the checks find the server alive.
    /// \param isNoAccusation the crash accuses no request: the failure was recorded before without
    /// a suspicion, or the server was leaving, so that its end was planned
    void recordReset(const BackendInfo &server, Suspects suspects, bool isNoAccusation,
                     TimePoint now);
    /// \brief The server, in the start that \a server names, sent bytes of an answer. A crash of
    /// which only silence was known is forgotten.
    void recordBytes(const BackendInfo &server);
    /// \brief A report of the server arrived. One of the same start refutes a crash as
    /// recordBytes() does.
    /// \param startedAtMs start time in the report; 0: not given
    void recordReport(std::string_view serverId, std::int64_t startedAtMs, TimePoint now);
    /// \brief A report of the server arrived.
    /// \param start what \a servers makes of the start time in it
    void recordReport(const BackendTable &servers, const ServerProbeResult &report,
                      ReportedStart start, TimePoint now);
    /// \brief Applies what the server list shows. To be called regularly.
    void update(const BackendTable &servers, TimePoint now);
    /// \brief Servers that must be probed now, since nobody else asks them. recordProbed() must
    /// follow for each of them.
    std::vector<BackendState> takeDueProbes(const BackendTable &servers, TimePoint now);
    /// \brief A probe from takeDueProbes() is over.
    /// \param reports answer to the probe; empty if there was none
    void recordProbed(const BackendInfo &server, std::span<const ServerProbeResult> reports,
                      BackendTable &servers, TimePoint now);
    /// \brief The probe from takeDueProbes() was not answered.
    void recordProbed(const BackendInfo &server, TimePoint now);
    /// \brief The probe was not sent, or its answer proves nothing. takeDueProbes() returns it
    /// again.
    void recordNotProbed(const BackendInfo &server);

    /// \brief True if the crash of this start of a server was proven lately.
    bool hasCrashed(const BackendInfo &server) const;
    /// \brief Number of servers under suspicion.
    std::size_t size() const { return m_suspicions.size(); }

private:
    struct ProvenCrash
    {
        CrashEvidence evidence;
        TimePoint at;
        TimePoint downSince; ///< what was sent later is not the cause
        TimePoint provenAt;
        bool isReported = false; ///< to the hooks
    };

    using Requests = std::vector<std::vector<std::string>>; ///< the suspects of each

    struct Suspicion
    {
        BackendInfo server;
        TimePoint silentSince; ///< latest sign of life
        TimePoint suspectedAt; ///< first probe without an answer
        Requests requests;     ///< the suspects of those that were in progress
        TimePoint probedAt;    ///< start of the latest own probe
        /// Start of the first own probe without an answer.
        TimePoint unansweredSince = TimePoint::max();
        bool isProbing = false;
        bool isLeaving = false; ///< its end or next start is planned
    };
    using Suspicions = std::map<std::string, Suspicion, std::less<>>; ///< by incarnation

    static void addRequest(Suspicion &suspicion, Suspects suspects);
    Suspicions::iterator confirm(Suspicions::iterator suspicion, CrashEvidence evidence,
                                 TimePoint now);
    Suspicions::iterator clear(Suspicions::iterator suspicion, std::string_view sign);
    /// A proven crash, and the requests that may have caused it.
    struct SuspectCrash
    {
        BackendInfo server;
        Requests requests;
        TimePoint at;
        CrashEvidence evidence;
    };

    /// Records the crash once the circumstances are known.
    void accuse(SuspectCrash crash, TimePoint now);
    void onVerdict(const SuspectCrash &crash, const CrashVerdict &verdict, TimePoint now);
    /// The server lives, in the same start: it only ended a connection.
    void refute(const SuspectCrash &crash);
    void accuseLate(const BackendInfo &server, const ProvenCrash &crash, Suspects suspects,
                    TimePoint sentAt, TimePoint now);
    void recordCrashed(const std::string &incarnation, const ProvenCrash &crash);
    /// The server has sent something, so a crash that only its silence proved was none.
    void refuteSilence(std::string_view incarnation);
    static std::string incarnationOf(std::string_view serverId, std::int64_t startedAtMs);
    void reportCrash(const SuspectCrash &crash, const CrashVerdict &verdict);

    RequestQuarantine &m_quarantine;
    CrashChecks *const m_checks;
    Hooks m_hooks;
    Suspicions m_suspicions;
    std::map<std::string, ProvenCrash, std::less<>> m_crashed; ///< by incarnation
};

} // namespace foxtailring
