#pragma once

#include "foxtailring/decisions/membership/ReporterClock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace foxtailring {

struct CrashReport;
struct ReportReception;

/// \brief Learns from the arrival of reports how the clocks of their reporters differ from the
/// clock of this process. Wall clocks are used only within what they may differ by.
///
/// Bounded; not thread-safe.
class ReporterClocks
{
public:
    /// \brief Wall clocks of VMs differ by less.
    static constexpr std::chrono::seconds maxWallClockDifference {5};

    /// \param unixOffset what is added to a time of this process to get the Unix time
    ReporterClock read(const CrashReport &report, const ReportReception &reception,
                       std::chrono::milliseconds unixOffset, TimePoint now);

private:
    struct Known
    {
        std::int64_t id; ///< of the clock
        ReporterClock clock;
        TimePoint readAt;
    };

    void makeRoom();

    std::map<std::string, Known, std::less<>> m_known; ///< by reporter
};

} // namespace foxtailring
