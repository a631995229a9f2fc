#pragma once

#include "foxtailring/base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace foxtailring {

/// \brief Which servers probably have a prompt prefix cached. Advisory: a hint may be wrong.
///
/// Thread-safe; its lock is a leaf: no other lock is taken while it is held.
class PrefixHints
{
public:
    struct Settings
    {
        std::size_t maxPrefixes = 10000;
        std::size_t serversPerPrefix = 4;
        /// Cache events come late and with gaps, so a hint that is not repeated is dropped.
        Duration hintLifetime = std::chrono::seconds(30);
    };

    PrefixHints();
    explicit PrefixHints(Settings settings);

    /// \brief Takes the prefix hashes of one load report.
    void record(std::string_view serverId, std::span<const std::uint64_t> prefixHashes,
                TimePoint now);
    /// \brief Drops all hints of a server, whose cache is gone when it restarts.
    void removeServer(std::string_view serverId);
    /// \brief Servers that reported the prefix within the validity time, latest first.
    std::vector<std::string> servers(std::uint64_t prefixHash, TimePoint now) const;
    std::size_t size() const;

private:
    struct Hint
    {
        std::string serverId;
        TimePoint validUntil;
    };
    struct Entry
    {
        std::uint64_t prefixHash = 0;
        std::vector<Hint> hints; ///< latest first
    };
    using Entries = std::list<Entry>; ///< latest report first

    Entry &findOrCreate(std::uint64_t prefixHash);

    const Settings m_settings;
    mutable std::mutex m_mutex;
    Entries m_entries;
    std::unordered_map<std::uint64_t, Entries::iterator> m_index;
};

} // namespace foxtailring
