#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Remembers how long the slowest recent answer to a call of each route took, and since when
/// calls wait for one. Not thread-safe.
class AnswerTimes
{
public:
    /// \brief A call that arrived at \a arrivedAt was sent to a server.
    void begin(std::string_view route, TimePoint arrivedAt);
    /// \brief The call ended.
    /// \param isRun whether a server may have executed it; no other one says how long answers take
    void end(std::string_view route, TimePoint arrivedAt, bool isRun, TimePoint now);
    /// \brief The longest time from the arrival of a call to its answer in the last five to ten
    /// minutes, or of a call that still waits; none: too few answers to tell.
    std::optional<Duration> longest(std::string_view route, TimePoint now) const;

private:
    struct Window
    {
        std::size_t count = 0;
        Duration longest {0};
    };
    struct Windows
    {
        /// Arrivals of calls without an answer. If most answers are quick and a process is young,
        /// the slow ones are all here.
        std::multiset<TimePoint> open;
        TimePoint startedAt; ///< of the current window
        Window current;
        Window previous;
    };

    static void record(Windows &windows, Duration time, TimePoint now);
    void dropOld(TimePoint now);

    std::map<std::string, Windows, std::less<>> m_routes;
};

} // namespace foxtailring
