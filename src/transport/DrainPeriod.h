#pragma once

#include <chrono>

namespace foxtailring {

/// \brief Time for which the rest of the input is read before a connection is closed.
///
/// Closing with unread input makes the kernel reset the connection, and the caller may lose the
/// response.
class DrainPeriod
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Time from a read to the close. Starts anew with each read, as a caller may look for the
    /// response only when it has sent all of a long body.
    static constexpr std::chrono::milliseconds quietTime {2000};
    /// Longest time, whatever is read.
    static constexpr std::chrono::milliseconds longestTime {30'000};

    void begin(TimePoint now) { m_startedAt = now; }
    /// \brief Time until the close unless more is read.
    std::chrono::milliseconds timeLeft(TimePoint now) const;

private:
    TimePoint m_startedAt;
};

} // namespace foxtailring
