#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief How fast the engines of each service read prompts and produce events, as observed.
///
/// Tells a server that is silent from one that works on a long prompt. Not thread-safe.
class EngineLatencyEstimator
{
public:
    /// \brief The first event of a run came \a took after it was sent.
    void recordFirstEvent(std::string_view service, std::uint64_t promptTokens, Duration took);
    /// \brief An event of a run came \a after the one before it, on the mean of the run.
    void recordEventInterval(std::string_view service, Duration mean);
    /// \brief Least time in which a run can be over; 0 as long as no run was seen.
    /// \param promptTokens of the prompt that is still to be read
    /// \param events that are still to come at least
    Duration minRunDuration(std::string_view service, std::uint64_t promptTokens,
                            std::int64_t events) const;
    /// \brief Longest time to the first event that is still usual for a prompt of this size.
    Duration maxFirstEventDelay(std::string_view service, std::uint64_t promptTokens) const;

private:
    struct Rate
    {
        double perToken = 0;  ///< seconds, mean of the recent runs
        double deviation = 0; ///< seconds, mean distance from the mean
        bool isKnown = false;
        Duration eventInterval {0}; ///< between events, mean of the recent runs
    };

    std::map<std::string, Rate, std::less<>> m_rates;
};

} // namespace foxtailring
