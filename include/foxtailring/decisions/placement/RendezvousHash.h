#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Highest-random-weight hashing: all nodes rank the same names for a key in the same order.
///
/// Removing a name moves only the keys for which it ranked first.
class RendezvousHash
{
public:
    /// \brief Returns the \a count best names for \a key, best first. Equal weights rank by name.
    static std::vector<std::string> rank(std::string_view key, std::span<const std::string> names,
                                         std::size_t count);
    /// \brief Returns all names ranked for \a key, best first.
    static std::vector<std::string> rank(std::string_view key, std::span<const std::string> names);
    /// \brief Returns the best name for \a key; empty when there are no names.
    static std::string first(std::string_view key, std::span<const std::string> names);
    /// \brief Returns the weight of one name for a key with that hash; the highest ranks first.
    static std::uint64_t weight(std::uint64_t hashOfKey, std::string_view name);
};

} // namespace foxtailring
