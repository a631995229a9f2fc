#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/limits/RateLimitReport.h"

#include <string_view>

namespace foxtailring {

/// \brief The latest report of rate limits that this process published, and when the next one is
/// due.
class RateLimitPublication
{
public:
    /// In publish intervals: a report is repeated although nothing has changed.
    static constexpr int refreshIntervals = 4;

    /// \brief True if no entry must be kept in the store.
    bool isEmpty() const { return m_report.entries.empty(); }
    /// \brief True if the report has an entry of the server.
    bool names(std::string_view serverId) const;
    /// \brief Demand to publish for the server: the published one unless \a demand is far from it.
    double steadyDemand(std::string_view serverId, double demand) const;
    /// \param interval at which a changed report may be published
    bool isDue(const RateLimitReport &report, Duration interval, TimePoint now) const;
    void record(const RateLimitReport &report, TimePoint now);
    /// \brief This process published \a report before it was restarted.
    void inherit(const RateLimitReport &report) { m_report = report; }
    /// \brief The report may be missing in the store, and is published again although nothing has
    /// changed.
    void requestRepeat() { m_isRepeating = true; }

private:
    RateLimitReport m_report;
    TimePoint m_publishedAt;
    bool m_isRepeating = false;
};

} // namespace foxtailring
