#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtailring {

/// \brief A position in the store's history.
///
/// A store that was restored from a backup starts a new epoch and gives out again the revisions
/// since the backup, so positions of different epochs cannot be compared.
struct StoreRevision
{
    std::int64_t epoch = 0; ///< 0: the store names no epoch
    std::int64_t number = 0;

    /// \brief Text form `EPOCH.NUMBER`, with the epoch as an unsigned number.
    std::string toString() const;
    /// \brief Parses the output of toString(); none if \a text has another form or names
    /// epoch 0.
    static std::optional<StoreRevision> parse(std::string_view text);

    bool operator==(const StoreRevision &) const = default;
};

} // namespace foxtailring
