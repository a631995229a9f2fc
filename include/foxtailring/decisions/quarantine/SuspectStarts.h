#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/quarantine/RecentStarts.h"

#include <optional>
#include <string>

namespace foxtailring {

/// \brief When and how often servers lately answered requests with each suspect.
///
/// Whole requests have a table of their own: most occur once, and would push the prompt parts out.
class SuspectStarts
{
public:
    void record(const std::string &suspect, TimePoint now)
    {
        tableOf(suspect).record(suspect, now);
    }
    std::optional<TimePoint> lastStart(const std::string &suspect) const
    {
        return tableOf(suspect).lastStart(suspect);
    }
    /// \brief See RecentStarts.
    double weight(const std::string &suspect, TimePoint now) const
    {
        return tableOf(suspect).weight(suspect, now);
    }

private:
    const RecentStarts &tableOf(const std::string &suspect) const;
    RecentStarts &tableOf(const std::string &suspect);

    RecentStarts m_parts;
    RecentStarts m_requests;
};

} // namespace foxtailring
