#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/admission/RetryBudget.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Decides when a slow call gets a second attempt at another server, and limits these to a
/// share of each service's requests.
///
/// Answers the load of a few answers that are much slower than the others of their route. If all
/// become slow, the time after which a call counts as slow rises with them. Not thread-safe.
class SecondAttempts
{
public:
    struct Settings
    {
        /// Second attempts as a fraction of a service's requests at this process. Each process
        /// keeps it for its own requests, so the sum over all keeps it too. 0: none.
        double maxShare = 0;
    };

    explicit SecondAttempts(Settings settings);

    bool isEnabled() const { return m_settings.maxShare > 0; }
    /// \brief A caller's request for the service arrived.
    void recordRequest(std::string_view service, TimePoint now);
    /// \brief An attempt was answered, or cancelled without an answer, after \a time.
    /// \param relativeDuration how long work took at its server, relative to the usual
    void recordTime(std::string_view route, Duration time, double relativeDuration, TimePoint now);
    /// \brief The time after which an attempt at such a server has taken longer than nearly all
    /// recent ones of the route; none: too few of them to tell, or no second attempts.
    std::optional<Duration> slowAfter(std::string_view route, double relativeDuration,
                                      TimePoint now) const;
    /// \brief True if the share of the service allows one more.
    bool isAllowed(std::string_view service, TimePoint now) const;
    /// \brief Counts one that is sent. To be called only if it is allowed.
    void recordSent(std::string_view service, TimePoint now);

private:
    /// Bounds grow by a tenth from 0.1 ms; the last one is above a minute.
    static constexpr std::size_t bucketCount = 144;

    struct Window
    {
        std::array<std::uint32_t, bucketCount> counts {};
        std::uint32_t total = 0;
    };
    struct Times
    {
        TimePoint startedAt; ///< of the current window
        Window current;
        Window previous;
    };

    static std::size_t bucketOf(double seconds);

    const Settings m_settings;
    std::map<std::string, Times, std::less<>> m_routes;
    /// The same limit in another use: sent ones against requests in the last ten seconds.
    RetryBudget m_share;
};

} // namespace foxtailring
