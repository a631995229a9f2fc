#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailring {

/// \brief Assigns each entry of a region a subset of a service's backend servers.
///
/// All entries compute the same assignment from the same lists without coordination. It is
/// balanced, and replacing one entry or server changes little else. Entries whose lists differ only
/// get slightly different subsets. Immutable, so safe on any thread.
class SubsetSelector
{
public:
    struct Settings
    {
        std::size_t minSubsetSize = 8; ///< servers per entry, if the service has that many
        /// Each server is in the subsets of about this many entries at least. With few entries or
        /// many servers, subsets grow beyond minSubsetSize for it.
        std::size_t minEntriesPerServer = 3;
        /// The entries per server lie between the mean divided by this, rounded down, and the mean
        /// multiplied by this, rounded up. A lower value is more even but moves more servers when
        /// entries or servers change.
        double maxImbalance = 1.1;
    };

    explicit SubsetSelector(Settings settings);

    /// \brief Returns the subset of \a entry, sorted by name.
    /// \param entries entries of the region; \a entry is added if it is missing
    /// \param servers servers of the service in the region, without duplicates
    std::vector<std::string> select(std::string_view service, std::string_view region,
                                    std::string_view entry, std::span<const std::string> entries,
                                    std::span<const std::string> servers) const;
    /// \brief Returns the subset of each entry, in the order of \a entries, each sorted by name.
    std::vector<std::vector<std::string>> assign(std::string_view service, std::string_view region,
                                                 std::span<const std::string> entries,
                                                 std::span<const std::string> servers) const;

private:
    std::size_t subsetSize(std::size_t entryCount, std::size_t serverCount) const;

    const Settings m_settings;
};

} // namespace foxtailring
