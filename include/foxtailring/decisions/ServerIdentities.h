#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/decisions/BackendInfo.h"

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

    /// \brief The server answered in its own name: with a signature, or with its start time. Ends
    /// what others said about it.
    void confirm(std::string_view id, TimePoint now);
    /// \brief The server wrote its entry again. Ends what others said, unless its address has sent
    /// a 421 answer more than once since the server answered itself.
    void confirmByEntry(std::string_view id, TimePoint now);
    /// \brief A server with another id answered at the address, with 421.
    void recordWrongServer(std::string_view id, TimePoint now);

    bool isSuspended(std::string_view id, TimePoint now) const;
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
    };

    Identity *find(std::string_view id);
    bool isNamed(const std::string &service) const;
    /// Suspends the earlier servers at the address of \a claimant.
    void claimAddress(const BackendInfo &claimant, TimePoint now);
    void endClaims(const BackendInfo &claimant);
    /// Calls the hook if \a identity has been suspended, or is not any more.
    void reportChange(const Identity &identity, TimePoint now);
    static bool isSuspended(const Identity &identity, TimePoint now);

    const Settings m_settings;
    Hooks m_hooks;
    std::map<std::string, Identity, std::less<>> m_identities; ///< by id
    /// Ids, so that a change of one server does not scan all others.
    std::map<std::string, Names, std::less<>> m_idsByAddress;
    Names m_suspendedIds;            ///< as reported
    std::optional<Names> m_services; ///< none: no configuration yet
};

} // namespace foxtailring
