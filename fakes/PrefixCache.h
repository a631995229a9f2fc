#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string_view>
#include <unordered_map>

namespace foxtailring::fakes {

/// \brief Least-recently-used cache of prompt prefixes in blocks of 64 characters. A block is known
/// by the hash of the whole prefix up to its end. Not thread-safe.
class PrefixCache
{
public:
    static constexpr std::size_t blockChars = 64;

    /// \brief A block was stored or evicted.
    struct Change
    {
        bool stored = true;
        std::uint64_t prefixHash = 0; ///< keyHash of the prefix; see protocol/KeyHash.h
        std::size_t prefixChars = 0;  ///< length of that prefix
    };

    PrefixCache(std::size_t capacityBlocks, std::function<void(const Change &)> onChange);

    /// \brief Characters at the start of \a prompt that are cached; marks their blocks as used.
    std::size_t cachedChars(std::string_view prompt);
    /// \brief Stores every whole block of \a prompt.
    void store(std::string_view prompt);
    std::size_t blocks() const;

private:
    using Order = std::list<Change>;

    bool touch(std::uint64_t prefixHash);
    void evictOldest();

    std::size_t m_capacity;
    std::function<void(const Change &)> m_onChange;
    Order m_order; // most recently used first
    std::unordered_map<std::uint64_t, Order::iterator> m_blocks;
};

} // namespace foxtailring::fakes
