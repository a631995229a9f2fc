#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/limits/TimeBounds.h"
#include "foxtailring/decisions/quarantine/CrashEvidence.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
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
        TimePoint newsAt;                     ///< when this process last learned of it by itself
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
    };

    Crashes crashes; ///< since the last start
    TimePoint startedAt;
    bool isOwnStart = false; ///< seen by this process
    TimePoint startNewsAt;   ///< when an own start last cleared what another process may hold
    Quarantine quarantine;

    TimePoint latestCrash() const;
    bool hasOwnCrash() const;
    /// \brief True if the engines of its zone failed with this one, for another reason than the
    /// suspect.
    bool isZoneFailure(const Crash &crash) const;
    /// \brief Names of the kinds of evidence of its crashes, for logs.
    std::string evidenceText() const;

private:
    /// \brief True if all crashes surely came within the time in which a zone is lost.
    bool areAllOfOneLoss() const;
};

} // namespace foxtailring
