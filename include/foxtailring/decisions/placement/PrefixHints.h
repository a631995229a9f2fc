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

/// \brief Remembers which servers probably have a prompt prefix cached. Hints may be wrong.
///
/// Thread-safe. No other lock is acquired while its mutex is held.
class PrefixHints
{
public:
    struct Settings
    {
        std::size_t maxPrefixes = 10000;
        std::size_t serversPerPrefix = 4;
        /// Eviction events may be late or lost, so hints expire unless they are reported again.
        Duration hintLifetime = std::chrono::seconds(30);
    };

    PrefixHints();
    explicit PrefixHints(Settings settings);

    /// \brief Adds the prefix hashes of a load report.
    void record(std::string_view serverId, std::span<const std::uint64_t> prefixHashes,
                TimePoint now);
    /// \brief Drops all hints for a server, e.g. after a restart, which clears its cache.
    void removeServer(std::string_view serverId);
    /// \brief Ids of the servers with an unexpired hint for the prefix, latest first.
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
