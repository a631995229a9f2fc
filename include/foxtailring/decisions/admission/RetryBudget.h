#pragma once

#include "foxtailring/base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Limits the retries of each service to a fraction of its recent work, plus a minimum rate.
///
/// The budget is that of a fleet of processes, each of which knows its own work only: the fraction
/// applies to that, and the minimum rate is divided among all. Thread-safe. No other lock is
/// acquired while its mutex is held.
class RetryBudget
{
public:
    struct Settings
    {
        double fraction = 0.1;     ///< retries per unit of work
        double minPerSecond = 0.2; ///< retries per second that the fleet is always allowed
        /// Part of a retry, below 1, with which the budget is rounded. Random numbers make the
        /// rounded budgets of a fleet add up to the exact sum.
        double rounding = 0;
    };

    RetryBudget();
    explicit RetryBudget(Settings settings);

    /// \brief Counts one unit of work, such as a request or a success.
    void deposit(std::string_view service, TimePoint now);
    /// \brief Takes one retry from the budget. False if none is left; the caller must not retry.
    bool tryConsume(std::string_view service, TimePoint now);
    /// \brief True if tryConsume() would take a retry now.
    bool hasRetry(std::string_view service, TimePoint now) const;
    /// \brief True if a retry is left beside one that is kept in reserve, and one for each piece of
    /// work that waits.
    bool hasSpareRetry(std::string_view service, TimePoint now) const;
    /// \brief One more piece of work waits for a retry that it needs.
    void addWaiting(std::string_view service);
    void removeWaiting(std::string_view service);
    /// \brief Sets the number of processes in the fleet, at least 1.
    void setProcessCount(std::size_t count);
    /// \brief Returns the number of retries left, before rounding.
    double remaining(std::string_view service, TimePoint now) const;

private:
    static constexpr std::size_t windowSeconds = 10;

    struct Second
    {
        std::int64_t index = -1; ///< seconds since the clock's epoch
        std::uint64_t workUnits = 0;
        std::uint64_t retries = 0;
    };
    using Window = std::array<Second, windowSeconds>;

    Window &window(std::string_view service);
    static Second &secondAt(Window &window, TimePoint now);
    double remaining(const Window &window, TimePoint now) const;
    bool hasRetries(std::string_view service, std::size_t count, TimePoint now) const;

    const Settings m_settings;
    mutable std::mutex m_mutex;
    std::size_t m_processCount = 1;
    std::map<std::string, Window, std::less<>> m_windows;
    std::map<std::string, std::size_t, std::less<>> m_waiting;
};

} // namespace foxtailring
