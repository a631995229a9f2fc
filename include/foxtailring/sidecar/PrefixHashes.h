#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace foxtailring {

/// \brief The prompt prefixes that an engine reported as cached most recently. Not thread-safe.
class PrefixHashes
{
public:
    explicit PrefixHashes(std::size_t most);

    void stored(std::uint64_t hash);
    void evicted(std::uint64_t hash);
    void clear();
    /// \brief Latest first.
    std::vector<std::uint64_t> all() const;

private:
    std::size_t m_most;
    std::list<std::uint64_t> m_order; ///< latest first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

} // namespace foxtailring
