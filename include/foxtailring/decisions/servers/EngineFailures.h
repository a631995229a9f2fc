#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/limits/TimeBounds.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

namespace foxtailring {

/// \brief Recent failures of servers, and which of them may have happened at the same moment.
class EngineFailures
{
public:
    /// \param minInterval events that are closer to each other may be of one moment
    /// \param lifetime failures are forgotten after this time
    EngineFailures(Duration minInterval, Duration lifetime);

    /// \brief A server failed. One that failed less than the shortest interval before is not
    /// counted again.
    void record(const std::string &incarnation, const std::string &service, TimePoint at,
                TimePoint now);
    /// \brief The server has not failed after all.
    void withdraw(const std::string &incarnation);
    /// \brief Number of failures of the service closer to \a at than the shortest interval.
    std::size_t countAt(TimePoint at, const std::string &service) const;
    /// \brief Number of failures that may have happened at the moment \a at, of servers of the
    /// service for which \a isCounted is true.
    /// \param service empty: not known, so that all count
    std::size_t count(TimeBounds at, const std::string &service,
                      const std::function<bool(const std::string &incarnation)> &isCounted) const;
    /// \brief True if \a at is a later moment than \a other.
    bool isSurelyLater(TimeBounds at, TimeBounds other) const;
    bool mayBeSameMoment(TimeBounds one, TimeBounds other) const;

private:
    struct Failure
    {
        std::string incarnation;
        std::string service;
        TimePoint at;
    };

    const Duration m_minInterval;
    const Duration m_lifetime;
    std::deque<Failure> m_failures; ///< in the order in which they were recorded
};

} // namespace foxtailring
