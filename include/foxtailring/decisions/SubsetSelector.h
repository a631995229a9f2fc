#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Which backend servers each entry of a region follows for a service.
///
/// Every entry computes the same assignment from the same lists, without talking to the others. It
/// spreads the servers evenly over the entries, and replacing one name moves little else. Entries
/// with different lists only follow slightly other servers. Has no state that changes.
class SubsetSelector
{
public:
    struct Settings
    {
        std::size_t minSubsetSize = 8; ///< servers that an entry follows
        /// Each server is followed by about this many entries at least; with few entries or many
        /// servers an entry follows more than size for it.
        std::size_t minEntriesPerServer = 3;
        /// Followers of a server lie between the mean divided and multiplied by this, rounded away.
        /// Less maxImbalance is more even but moves more when names change (bench-policy, subsets).
        double maxImbalance = 1.1;
    };

    explicit SubsetSelector(Settings settings);

    /// \brief Servers that \a entry follows, sorted by name.
    /// \param entries entries of the region; \a entry is added when it is missing
    /// \param servers servers of the service in the region, without duplicates
    std::vector<std::string> select(std::string_view service, std::string_view region,
                                    std::string_view entry, std::span<const std::string> entries,
                                    std::span<const std::string> servers) const;
    /// \brief The servers of each entry, in the order of \a entries, each list sorted by name.
    std::vector<std::vector<std::string>> assign(std::string_view service, std::string_view region,
                                                 std::span<const std::string> entries,
                                                 std::span<const std::string> servers) const;

private:
    std::size_t subsetSize(std::size_t entryCount, std::size_t serverCount) const;

    const Settings m_settings;
};

} // namespace foxtailring
