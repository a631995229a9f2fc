#pragma once

#include "foxtailring/transport/HttpLimits.h"
#include "Net.h"
#include "StrandTimer.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace foxtailring {

/// \brief Time limit of what an HTTP/1.1 connection waits for. To be used on its strand only.
class ConnectionDeadline
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Limit = std::chrono::milliseconds HttpLimits::*;

    struct Hooks
    {
        /// Returns the hook of the next timeout, which may own the connection.
        std::function<std::function<void()>()> timeoutHook;
        /// Returns when a wait that follows a limit ends at the latest; none: the limit alone
        /// holds.
        std::function<std::optional<TimePoint>()> latestEnd;
    };

    /// \param socket and \a limits must outlive the object
    ConnectionDeadline(Socket &socket, const HttpLimits &limits, Hooks hooks);

    /// \brief Starts a wait that follows \a limit.
    void arm(Limit limit);
    /// \brief Starts a wait of a fixed time.
    void arm(std::chrono::milliseconds delay);
    void cancel();
    /// \brief Time since the latest wait that follows a limit began, or the caller last took a part
    /// of the response.
    std::chrono::steady_clock::duration age() const;

    /// \brief True if the wait follows a limit.
    bool followsLimit() const { return m_limit != nullptr; }
    /// \brief The limits may have changed: sets the timer anew if the wait follows one.
    void update();
    /// \brief Gives the connection a little time, once for each wait, to read input that arrived
    /// before the deadline. False: it had that time.
    bool extendForInput();
    /// \brief Moves a deadline that has passed by shorter limits than those in force.
    bool extendForLimits();
    /// \brief Moves the deadline of HttpLimits::idleTimeout if the caller has taken a part of the
    /// response since.
    bool extendForReader();

private:
    TimePoint endsAt() const;
    void startTimer(std::chrono::milliseconds delay);

    Socket &m_socket;
    const HttpLimits &m_limits;
    const Hooks m_hooks;
    StrandTimer m_timer;
    Limit m_limit = nullptr; ///< that the wait follows; null: its time is fixed
    TimePoint m_startedAt;
    bool m_isOverdue = false;         ///< the deadline has passed, input that had arrived is read
    std::size_t m_unacknowledged = 0; ///< of the bytes written, when the wait began
};

} // namespace foxtailring
