#pragma once

#include "foxtailring/base/Clock.h"

#include <map>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief What each client account, or each prompt, has of the recent requests against its usual
/// and its equal share. Not thread-safe.
class RecentShares
{
public:
    /// \brief A request of \a name arrived.
    void record(std::string_view name, TimePoint now);
    /// \brief True if \a name lately sent more than twice its usual share of all requests, and more
    /// than twice an equal one.
    bool isBeyondShare(std::string_view name, TimePoint now) const;

private:
    /// Number of requests, decaying exponentially.
    struct Count
    {
        double recent = 0;
        double usual = 0;
        TimePoint at;
    };

    static Count decayed(const Count &count, TimePoint now);
    void prune(TimePoint now);

    std::map<std::string, Count, std::less<>> m_counts;
    Count m_total;
};

} // namespace foxtailring
