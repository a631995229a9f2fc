#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief How many runs of all processes choose the same engine before a report shows the first of
/// them, as one process estimates it from its own runs. Not thread-safe.
///
/// While most engines are full, each that becomes free is seen by all processes for as long as
/// reports lag. If all of them use it, its runs wait there for one another's prompts.
class PlacementContention
{
public:
    /// \brief Sets the number of processes that place runs, at least 1.
    void setProcessCount(std::size_t count);
    /// \brief True if setEngineCount() was not called lately.
    bool needsEngineCount(std::string_view service, TimePoint now) const;
    /// \brief Sets the number of engines of the service.
    void setEngineCount(std::string_view service, std::size_t count, TimePoint now);
    /// \brief An engine was asked for a run.
    void recordAsked(std::string_view service, bool hasRoom);
    /// \brief A run found an engine with room.
    void recordFound(std::string_view service, TimePoint now);

    /// \brief Runs that choose the same engine with room until a report shows them.
    double runsPerEngine(std::string_view service, TimePoint now) const;
    /// \brief Fraction of the runs which find room that should use it.
    /// \param fraction of the runs with which this one competes, 0 to 1
    double usableFraction(std::string_view service, double fraction, TimePoint now) const;

private:
    struct Service
    {
        std::size_t engines = 0;
        TimePoint countedAt;
        double withRoom = 1;       ///< fraction of the engines, moving average
        double foundPerSecond = 0; ///< at updatedAt, decays
        TimePoint updatedAt;
    };

    std::map<std::string, Service, std::less<>> m_services;
    std::size_t m_processCount = 1;
};

} // namespace foxtailring
