#pragma once

#include <atomic>
#include <chrono>
#include <optional>

namespace foxtailring {

/// \brief Time limit of a body that does not arrive together with its head.
class BodyDeadline
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Limit = std::optional<std::chrono::milliseconds>; ///< none: any time

    /// \brief No body is arriving.
    void reset();
    /// \brief The head has arrived without the whole body.
    void begin(TimePoint now);
    /// \brief Thread-safe.
    bool hasBegun() const { return m_hasBegun; }

    /// \brief Sets the limit of a body that has just begun.
    void setLimit(Limit limit) { m_limit = limit; }
    /// \brief A new limit is in force: the longer one holds.
    void extend(Limit limit, TimePoint now);
    const Limit &limit() const { return m_limit; }
    /// \brief When the time is over; none: never.
    std::optional<TimePoint> endsAt() const;

private:
    /// When the body began, or a later time as long as no limit was set.
    TimePoint m_startedAt;
    Limit m_limit;
    std::atomic<bool> m_hasBegun = false;
};

} // namespace foxtailring
