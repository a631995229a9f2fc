#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Highest-random-weight hashing: every node ranks the same names for a key in one order.
///
/// Removing a name moves only the keys that it was ranked first for.
class RendezvousHash
{
public:
    /// \brief The \a count best names for \a key, best first; equal weights rank by name.
    static std::vector<std::string> rank(std::string_view key, std::span<const std::string> names,
                                         std::size_t count);
    /// \brief All names for \a key, best first.
    static std::vector<std::string> rank(std::string_view key, std::span<const std::string> names);
    /// \brief The best name for \a key; empty when there are no names.
    static std::string first(std::string_view key, std::span<const std::string> names);
    /// \brief Weight of one name, from the hash of the key; higher ranks first.
    static std::uint64_t weight(std::uint64_t hashOfKey, std::string_view name);
};

} // namespace foxtailring
