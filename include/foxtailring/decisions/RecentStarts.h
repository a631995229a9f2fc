#pragma once

#include "foxtailring/base/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace foxtailring {

/// \brief Remembers when engines last began to answer requests with each of the recent prompt
/// parts. Bounded; not thread-safe.
class RecentStarts
{
public:
    void record(const std::string &part, TimePoint now);
    std::optional<TimePoint> lastStart(const std::string &part) const;

private:
    using Times = std::unordered_map<std::string, TimePoint>;

    Times m_current;
    Times m_previous; ///< replaced as a whole when m_current is full or old
    TimePoint m_currentSince;
};

} // namespace foxtailring
