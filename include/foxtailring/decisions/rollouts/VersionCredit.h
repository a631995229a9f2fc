#pragma once

#include "foxtailring/base/Clock.h"

#include <map>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Which of one gateway's requests go to an unproven version: a share of them, and a few
/// more once. No two requests in a row on one route do. Not thread-safe.
class VersionCredit
{
public:
    /// \brief Begins anew.
    /// \param extra requests beyond the share, available from \a extraAt on
    void restart(double share, double extra, TimePoint extraAt);
    void setShare(double share) { m_share = share; }
    /// \brief Until \a until only requests on \a route take credits.
    void reserve(std::string route, TimePoint until);

    /// \brief Counts a request on \a route and takes a credit for it, if it may.
    bool tryTake(std::string_view route, TimePoint now);
    /// \brief Gives back a credit that was not used.
    void giveBack() { m_credit += 1; }

private:
    double m_share = 0;
    double m_credit = 0;
    double m_extra = 0;
    TimePoint m_extraAt;
    std::string m_reservedRoute;
    TimePoint m_reservedUntil;
    std::map<std::string, bool, std::less<>> m_wasTaken; ///< by the last request on the route
};

} // namespace foxtailring
