#pragma once

#include "foxtailring/base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Estimates how fast the engines of each service process prompts and produce events.
///
/// Used to tell an unresponsive server from one that processes a long prompt. Not thread-safe.
class EngineLatencyEstimator
{
public:
    /// \brief Records the time from sending a run to its first event.
    void recordFirstEvent(std::string_view service, std::uint64_t promptTokens, Duration delay);
    /// \brief Records the mean interval between the events of a run.
    void recordEventInterval(std::string_view service, Duration mean);
    /// \brief Lower bound of the remaining duration of a run; 0 if no run was observed yet.
    /// \param promptTokens tokens of the prompt that are not processed yet
    /// \param events minimum number of events that are still to come
    Duration minRunDuration(std::string_view service, std::uint64_t promptTokens,
                            std::int64_t events) const;
    /// \brief Usual duration of a run, with a delay of its first event that is not unusual; none if
    /// no run with several events was observed yet.
    std::optional<Duration> usualRunDuration(std::string_view service, std::uint64_t promptTokens,
                                             std::int64_t events) const;
    /// \brief Time after which the first event of a run with such a prompt is unusually late.
    Duration maxFirstEventDelay(std::string_view service, std::uint64_t promptTokens) const;

private:
    struct Rate
    {
        double perToken = 0;  ///< seconds to the first event per prompt token, moving average
        double deviation = 0; ///< mean absolute deviation of perToken, moving average
        bool isKnown = false;
        Duration eventInterval {0}; ///< between events, moving average
    };

    std::map<std::string, Rate, std::less<>> m_rates;
};

} // namespace foxtailring
