#pragma once

#include "foxtailring/base/Clock.h"

#include <span>

namespace foxtailring {

class RandomSource;
struct BackendState;

/// \brief The expected time from sending a call to its answer, by server: the wait for a slot plus
/// the work. The unit is the usual duration of the work at an idle server of the service.
///
/// Answers the load of a few servers with few slots on machines that they share, each of which is
/// several times slower for some hundred milliseconds at a time, as seen by many processes with
/// stale figures.
class ExpectedCallTime
{
public:
    /// \param servers of one service
    ExpectedCallTime(std::span<const BackendState> servers, TimePoint now);

    /// \brief True if a server tells its pace, so that expected times can be compared.
    bool isKnown() const { return m_isKnown; }
    double at(const BackendState &server) const;
    /// \brief True if a fresh figure shows that the server has a slot for one more call.
    bool hasFreeSlot(const BackendState &server) const;
    /// \brief A random addition to the expected time. The server with the least sum is chosen in
    /// proportion to exp(-time), so that processes with the same figures share the calls among all
    /// servers of about the same expected time.
    static double spread(RandomSource &random);

private:
    double meanOccupancy(std::span<const BackendState> servers) const;
    double occupants(const BackendState &server) const;
    double freshness(const BackendState &server) const;

    const TimePoint m_now;
    bool m_isKnown = false;
    double m_meanOccupancy = 0; ///< requests per slot, of the servers with fresh figures
};

} // namespace foxtailring
