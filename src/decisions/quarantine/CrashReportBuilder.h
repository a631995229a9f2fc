#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/quarantine/CrashReport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace foxtailring {

class SuspectTable;
struct SuspectRecord;

/// \brief Makes the report of what this process has seen, and of what its quarantines rely on.
class CrashReportBuilder
{
public:
    /// \param toReportMs converts a time of this process
    CrashReportBuilder(const SuspectTable &suspects,
                       std::function<std::int64_t(TimePoint)> toReportMs);

    CrashReport build();

private:
    void addRecord(const std::string &name, const SuspectRecord &record);
    void addCrashes(const SuspectRecord &record, bool isReliedOn);
    void addSuspects(CrashReport::Crash &crash) const;

    const SuspectTable &m_suspects;
    const std::function<std::int64_t(TimePoint)> m_toReportMs;
    CrashReport m_report;
    std::map<std::string, CrashReport::Crash> m_crashes; ///< by incarnation
};

} // namespace foxtailring
