#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/rollouts/VersionWitness.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief Times the attempts of this gateway at the servers of one service, by version. Not
/// thread-safe.
class VersionObserver
{
public:
    /// \brief How an attempt ended.
    enum class Outcome : std::uint8_t {
        Answered,
        Failed,
        NotRun,    ///< says nothing about the version
        Abandoned, ///< the gateway or the caller did not wait for the end
    };
    struct Attempt
    {
        std::string route;
        std::string version;
        std::string zone;
        TimePoint sentAt;
    };

    /// \brief Counts attempts that are sent from now on, for a version that an order names; empty:
    /// counts none.
    void restart(std::string version, TimePoint now);

    /// \brief Adds what an earlier process of this gateway had counted since restart().
    void restore(const std::map<VersionRowKey, VersionRow> &rows);

    std::uint64_t begin(Attempt attempt);
    /// \brief An event of a stream arrived.
    void recordEvent(std::uint64_t id, TimePoint now);
    /// \brief The attempt has ended. Only the first call for it counts.
    void end(std::uint64_t id, Outcome outcome, TimePoint now);

    /// \brief Tells the time, for attempts that are abandoned without one.
    void advance(TimePoint now) { m_now = now; }
    /// \brief Rows since restart().
    std::map<VersionRowKey, VersionRow> rows(TimePoint now) const;
    /// \brief Number of attempts at servers of other versions.
    std::size_t openCountBeside(std::string_view version) const;
    /// \brief When the first attempt at a server of \a version was sent; none: there was none.
    std::optional<TimePoint> firstUse(std::string_view version) const;
    /// \brief Forgets the first attempts at servers of other versions.
    void forgetUseBeside(std::string_view version);
    /// \brief Routes of the service so far, sorted.
    const std::set<std::string, std::less<>> &routes() const { return m_routes; }

private:
    static constexpr std::size_t maxVersions = 16;

    struct OpenAttempt
    {
        Attempt attempt;
        std::uint32_t events = 0;
        TimePoint firstEventAt;
    };

    VersionRow *row(const Attempt &attempt, bool isPace);
    VersionRowKey keyOf(const Attempt &attempt, bool isPace) const;
    bool isCounted(const Attempt &attempt) const;

    std::string m_version;
    TimePoint m_restartedAt;
    TimePoint m_now;
    std::map<std::uint64_t, OpenAttempt> m_open;
    std::map<VersionRowKey, VersionRow> m_rows;
    std::set<std::string, std::less<>> m_routes;
    std::map<std::string, TimePoint, std::less<>> m_firstUse; ///< by version
    std::uint64_t m_lastId = 0;
};

} // namespace foxtailring
