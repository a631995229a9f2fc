#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/servers/BackendInfo.h"
#include "foxtailring/decisions/servers/ReportedStart.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailring {

/// \brief Whether the server that an entry names is still the one at its address.
///
/// Entries of other servers and answers of whatever has the address may say that it is not. Each
/// of them is a single witness and may be wrong, so it only suspends the server: until the witness
/// is gone, until the server itself is heard from, or for a limited time. Not thread-safe.
class ServerIdentities
{
public:
    struct Settings
    {
        /// How long another server's entry suspends a server. The entry of a server that has gone
        /// ends with its lease before that.
        Duration claimHold = std::chrono::seconds(10);
        /// How long a 421 answer suspends a server; doubles with each further one.
        Duration wrongServerHold = std::chrono::seconds(2);
        Duration maxWrongServerHold = std::chrono::seconds(16);
        /// How long a confirmed restart suspends a server. Its runs and copies are lost, but it
        /// works, and its entry is written again within seconds.
        Duration restartHold = std::chrono::seconds(3);
        /// How long a report, or the loss of a connection, may confirm a restart.
        Duration restartMemory = std::chrono::seconds(5);
    };

    /// \brief Called when a suspension begins or ends. All are optional. Ends that nothing but the
    /// time brings, or that concern other servers than the one in question, are told by expire().
    struct Hooks
    {
        std::function<void(const BackendInfo &)> onSuspended;
        std::function<void(const BackendInfo &)> onSuspensionEnded;
    };

    using Names = std::set<std::string, std::less<>>;

    explicit ServerIdentities(Settings settings);

    void setHooks(Hooks hooks) { m_hooks = std::move(hooks); }

    /// \brief Sets the services that the configuration in force names. Entries of other services
    /// suspend nobody; until the first call, all services count as named.
    void setNamedServices(Names services, TimePoint now);
    /// \brief A server is listed, or its entry names another start, address or service. What was
    /// believed about it ends. Suspends earlier servers at its address.
    void addEntry(const BackendInfo &info, TimePoint now);
    /// \brief Adds a server that has no entry, so that it suspends no other.
    void addUnlisted(const BackendInfo &info);
    /// \brief The server is no longer listed: it suspends no other from now on.
    void remove(std::string_view id);

    /// \brief The server signed an answer. Ends what others said about it.
    void confirm(std::string_view id, TimePoint now);
    /// \brief The server wrote its entry again. Ends what others said, unless its address has sent
    /// a 421 answer more than once since the server answered itself.
    void confirmByEntry(std::string_view id, TimePoint now);
    /// \brief A server with another id answered at the address, with 421.
    void recordWrongServer(std::string_view id, TimePoint now);

    /// \brief A report from the address has this start time; 0: none. That of the entry ends all
    /// that was said against the server. A later one suspends it once it is confirmed: by another
    /// report, the loss of a connection, or what suspends the server already.
    /// \return what the reports say now
    ReportedStart recordReport(std::string_view id, std::int64_t startedAtMs, TimePoint now);
    /// \brief A connection to the server was lost, or could not be made.
    void recordConnectionLost(std::string_view id, TimePoint now);

    bool isSuspended(std::string_view id, TimePoint now) const;
    ReportedStart reportedStart(std::string_view id, TimePoint now) const;
    /// \brief Ends what has lasted for its time. To be called regularly.
    void expire(TimePoint now);

private:
    struct Identity
    {
        BackendInfo info;
        bool isListed = false;
        std::string claimantId; ///< whose entry has the address; empty: none
        TimePoint claimedUntil;
        std::uint32_t wrongServerAnswers = 0; ///< since the server answered itself
        TimePoint wrongServerUntil;
        std::int64_t laterStartMs = 0; ///< that the latest report named; 0: none
        TimePoint laterStartToldAt;
        /// Has been confirmed, or contradicted by the entry, so that it is not news any more.
        bool isLaterStartKnown = false;
        TimePoint restartedUntil;
        TimePoint connectionLostAt;
    };

    Identity *find(std::string_view id);
    static void endThirdPartyWord(Identity &identity);
    void recordLaterStart(Identity &identity, std::int64_t startedAtMs, TimePoint now);
    void confirmRestart(Identity &identity, TimePoint now);
    ReportedStart reportedStart(const Identity &identity, TimePoint now) const;
    bool isRecent(TimePoint at, TimePoint now) const;
    bool isNamed(const std::string &service) const;
    /// Suspends the earlier servers at the address of \a claimant.
    void claimAddress(const BackendInfo &claimant, TimePoint now);
    void endClaims(const BackendInfo &claimant);
    /// To be called after each change. Calls the hook if \a identity has been suspended, or is not
    /// any more.
    void update(const Identity &identity, TimePoint now);
    static bool isSuspended(const Identity &identity, TimePoint now);

    const Settings m_settings;
    Hooks m_hooks;
    std::map<std::string, Identity, std::less<>> m_identities; ///< by id
    /// Ids, so that a change of one server does not scan all others.
    std::map<std::string, Names, std::less<>> m_idsByAddress;
    // Few, so that most questions need no look at m_identities.
    Names m_disputedIds;             ///< whose entries something speaks against
    Names m_suspendedIds;            ///< as reported
    std::optional<Names> m_services; ///< none: no configuration yet
};

} // namespace foxtailring
