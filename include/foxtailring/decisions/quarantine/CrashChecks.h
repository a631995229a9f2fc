#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/quarantine/CrashVerdict.h"
#include "foxtailring/decisions/servers/BackendInfo.h"
#include "foxtailring/decisions/servers/BackendState.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace foxtailring {

class BackendTable;
class RandomSource;
struct ServerProbeResult;

/// \brief Finds out whether a server that seems to have crashed did so alone, or together with the
/// others in its zone.
///
/// A process sees only those servers fail at which it has requests. So it asks some of the others
/// in the zone; what they show holds for all servers of the service that fail there at about the
/// same time. Needs neither the store nor other processes. Not thread-safe; used on one queue.
class CrashChecks
{
public:
    using VerdictHook = std::function<void(const CrashVerdict &, TimePoint now)>;

    static constexpr std::size_t minPeers = 2; ///< in a zone; fewer prove nothing
    static constexpr std::size_t maxPeers = 4; ///< asked in a zone
    /// Servers that fail closer to each other share the answers of their zone.
    static constexpr std::chrono::milliseconds maxSharedInterval {300};
    static constexpr std::size_t maxCases = 64; ///< in progress

    struct Hooks
    {
        /// Probes \a servers, each on a new connection; recordAnswers() must follow.
        std::function<void(std::uint64_t number, std::vector<BackendState> servers)> ask;
        /// A zone was asked because a server failed. Optional.
        std::function<void(const BackendInfo &, std::size_t asked, std::size_t failed)> onZoneAsked;
    };

    /// \param servers the others must outlive the object, too
    CrashChecks(const BackendTable &servers, RandomSource &random);

    void setHooks(Hooks hooks) { m_hooks = std::move(hooks); }

    /// \brief Calls \a hook as soon as the circumstances of a failure are known; at once if nobody
    /// can be asked.
    /// \param asksItself whether the server may work all the same
    void check(const BackendInfo &failed, TimePoint at, bool asksItself, VerdictHook hook,
               TimePoint now);
    /// \brief The probe is over.
    /// \param asked the servers that were probed
    void recordAnswers(std::uint64_t number, std::span<const BackendState> asked,
                       std::span<const ServerProbeResult> reports, TimePoint now);
    /// \brief Number of failures whose circumstances are not known yet.
    std::size_t size() const { return m_cases.size(); }

private:
    /// What a zone showed around one moment.
    struct Zone
    {
        std::uint64_t number = 0;
        BackendInfo failed; ///< on account of which it was asked
        TimePoint at;
        bool isAsked = false; ///< the answers are there
        CrashVerdict verdict;
    };
    struct Case
    {
        BackendInfo failed;
        std::uint64_t zone = 0;  ///< number of it
        bool asksItself = false; ///< its own answer is not there yet
        std::vector<VerdictHook> hooks;
    };

    Zone &zoneOf(const BackendInfo &failed, TimePoint at, std::vector<BackendState> &peers,
                 TimePoint now);
    std::vector<BackendState> choosePeers(const BackendInfo &failed, TimePoint now);
    Zone *findZone(std::uint64_t number);
    void judgeZone(Zone &zone, std::span<const BackendState> asked,
                   std::span<const ServerProbeResult> reports);
    void decideAll(TimePoint now);

    const BackendTable &m_servers;
    RandomSource &m_random;
    Hooks m_hooks;
    std::uint64_t m_lastNumber = 0;
    std::deque<Zone> m_zones;              ///< the latest ones, in the order in which they began
    std::map<std::uint64_t, Case> m_cases; ///< by number of their probe
};

} // namespace foxtailring
