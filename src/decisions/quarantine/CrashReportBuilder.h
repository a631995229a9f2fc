#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/quarantine/CrashReport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace foxtailring {

class SuspectTable;
struct SuspectRecord;

/// \brief Makes the report of what this process has seen, and of what its quarantines rely on.
class CrashReportBuilder
{
public:
    /// \param newsSince what is older has been reported; only quarantines, and what those that
    /// have rejected a request rely on, are reported again
    /// \param toReportMs converts a time of this process
    CrashReportBuilder(const SuspectTable &suspects, TimePoint newsSince,
                       std::function<std::int64_t(TimePoint)> toReportMs);

    using Filter = std::function<bool(const std::string &suspect, const SuspectRecord &)>;

    /// \brief Leaves out crashes without a suspect for which \a isDeciding is true.
    void tellOnly(Filter isDeciding) { m_isDeciding = std::move(isDeciding); }

    CrashReport build();

private:
    void addRecord(const std::string &name, const SuspectRecord &record);
    void addCrashes(const std::string &name, const SuspectRecord &record, bool isReliedOn);
    void addSuspects(CrashReport::Crash &crash) const;
    void addRequests(CrashReport::Crash &crash) const;
    void addOneLossSuspects(CrashReport::Crash &crash) const;

    const SuspectTable &m_suspects;
    const TimePoint m_newsSince;
    const std::function<std::int64_t(TimePoint)> m_toReportMs;
    Filter m_isDeciding; ///< empty: all are told
    CrashReport m_report;
    std::map<std::string, CrashReport::Crash> m_crashes; ///< by incarnation
};

} // namespace foxtailring
