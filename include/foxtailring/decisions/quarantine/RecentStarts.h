#pragma once

#include "foxtailring/base/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace foxtailring {

/// \brief Remembers when and how often servers began to answer requests with each of the recent
/// suspects (see RequestQuarantine). Of more suspects than it has room for, it forgets those with
/// the fewest starts. Bounded; not thread-safe.
class RecentStarts
{
public:
    void record(const std::string &part, TimePoint now);
    std::optional<TimePoint> lastStart(const std::string &part) const;
    /// \brief Number of starts with the suspect, in which each counts half for each half-life
    /// since.
    double weight(const std::string &part, TimePoint now) const;
    /// \brief What one start counts now.
    static double weightOf(TimePoint start, TimePoint now);

private:
    struct Starts
    {
        double weight = 0; ///< at the latest one
        TimePoint latest;
    };
    using StartsByPart = std::unordered_map<std::string, Starts>;

    const Starts *find(const std::string &part) const;
    void beginGeneration(TimePoint now);
    /// \brief Takes the entries out of the previous generation that the next one must not lose.
    StartsByPart takeFrequent(TimePoint now);

    StartsByPart m_current;
    StartsByPart m_previous; ///< replaced when m_current is full or old
    TimePoint m_currentSince;
};

} // namespace foxtailring
