#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/quarantine/SuspectRecord.h"

#include <cstddef>
#include <span>
#include <string>

namespace foxtailring {

class EngineFailures;
class SuspectStarts;
class SuspectTable;

/// \brief Decides which of several suspects is to blame for crashes.
class CrashAttribution
{
public:
    /// Crashes that make a quarantine of a whole request that has not been answered lately. Each
    /// attempt is at one server, so each of them counts.
    static constexpr std::size_t minRequestCrashes = 3;

    using Suspects = std::span<const std::string>; ///< of a request, from the least specific one

    /// \brief All must outlive the object.
    /// \param minPartCrashes crashes that make a quarantine of a prompt part
    CrashAttribution(const SuspectTable &suspects, const EngineFailures &failures,
                     const SuspectStarts &starts, std::size_t minPartCrashes);

    /// \brief Crashes without which the suspect is not quarantined.
    std::size_t minCrashes(const std::string &name) const;
    /// \brief Crashes that quarantine the suspect, by its recent answers.
    std::size_t crashThreshold(const std::string &name, const SuspectRecord &record,
                               TimePoint now) const;

    /// \brief Number of crashes that may be due to the suspect; those of a prompt part at different
    /// moments.
    std::size_t crashCount(const std::string &name, const SuspectRecord &record) const;
    /// \brief True if another suspect explains all its crashes, and is more likely the cause.
    bool isExplained(const std::string &name, const SuspectRecord &record, TimePoint now) const;
    /// \brief False if the request lacks a suspect that has the same crashes and is no less likely
    /// the cause. Such requests are sound, or their next crash shows which suspect is the cause.
    bool isAccused(const std::string &name, const SuspectRecord &record, Suspects request,
                   TimePoint now) const;
    /// \brief Order of magnitude of the recent starts with a suspect; 0: none.
    int startLevel(const std::string &name, const SuspectRecord &record, TimePoint now) const;

private:
    /// \brief Calls \a visit for the other suspects that have all crashes of \a record, until it
    /// returns true. Returns whether it has.
    template <typename Visit>
    bool anyWithSameCrashes(const std::string &name, const SuspectRecord &record,
                            Visit visit) const;
    /// \brief True if the request crashes servers whatever its parts are, and has the part.
    static bool explainsPart(const SuspectRecord &request, const std::string &part);
    bool isExplainedByRequest(const std::string &name, const SuspectRecord &record, int level,
                              TimePoint now) const;
    bool areOfOneRequest(const std::string &one, const std::string &other,
                         const SuspectRecord &record) const;
    bool isAtMostFailures(const SuspectRecord &record, const SuspectRecord::Crash &crash) const;

    const SuspectTable &m_suspects;
    const EngineFailures &m_failures;
    const SuspectStarts &m_starts;
    const std::size_t m_minPartCrashes;
};

} // namespace foxtailring
