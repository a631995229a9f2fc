#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/limits/TimeBounds.h"
#include "foxtailring/decisions/quarantine/CrashEvidence.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief What is known of one prompt part, or one request, that may crash servers.
struct SuspectRecord
{
    /// A server crashed before it had begun to answer a request with the suspect.
    struct Crash
    {
        TimeBounds at;
        std::string service;      ///< of the server; empty: not known
        std::size_t position = 0; ///< of the suspect among those of its request
        bool isOwn = false;       ///< seen by this process
        CrashEvidence evidence = CrashEvidence::Reported;
        std::size_t askedPeers = 0;           ///< by this process, in the zone of the server
        std::vector<std::string> failedPeers; ///< incarnations of those that had failed, too
        bool isZoneFailure = false;           ///< by the reports of other processes
        /// By these reports, it is excused only as long as all crashes are of one loss of a zone.
        bool isOneLoss = false;
        TimePoint newsAt; ///< when this process last learned of it by itself

        /// \brief Adds what another sighting of the same crash shows.
        void add(const Crash &sighting);
    };
    using Crashes = std::map<std::string, Crash, std::less<>>; ///< by incarnation

    struct Quarantine
    {
        bool isInForce = false;
        bool hasRejected = false; ///< a request of this process
        TimePoint since;
        TimePoint until;
        TimePoint trialUntil; ///< a request that tries the suspect is in progress
        std::uint32_t count = 0;

        /// \brief Lasts for \a shortest, and twice as long each time that it begins again.
        void begin(Duration shortest, Duration longest, TimePoint now);
    };

    Crashes crashes; ///< since the last start
    /// The others of the requests in which this is the last suspect.
    std::set<std::string, std::less<>> parts;
    TimePoint startedAt;
    bool isOwnStart = false; ///< seen by this process
    TimePoint startNewsAt;   ///< when an own start last cleared what another process may hold
    Quarantine quarantine;

    TimePoint latestCrash() const;
    bool hasOwnCrash() const;
    /// \brief True if the engines of its zone failed with this one, for another reason than the
    /// suspect.
    bool isZoneFailure(const Crash &crash) const;
    /// \brief True if that holds only because all its crashes are of one loss of a zone.
    bool isExcusedByOneLoss(const Crash &crash) const;
    bool hasAllCrashesOf(const SuspectRecord &other) const;
    /// \brief Names of the kinds of evidence of its crashes, for logs.
    std::string evidenceText() const;

private:
    /// \brief True if all crashes surely came within the time in which a zone is lost.
    bool areAllOfOneLoss() const;
    /// \brief True if most of the zone failed, even without the servers that the suspect was at.
    bool hasOtherFailures(const Crash &crash) const;
    /// \brief True if a crash is none of a zone.
    bool hasCrashAlone() const;
};

} // namespace foxtailring
