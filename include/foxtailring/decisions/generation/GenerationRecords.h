#pragma once

#include "foxtailring/base/Clock.h"
#include "foxtailring/base/Result.h"
#include "foxtailring/protocol/GenerationRecord.h"

#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailring {

/// \brief Records which server runs the generation of an idempotency key.
///
/// Kept in memory only, so records may be lost. Not thread-safe.
class GenerationRecords
{
public:
    struct Limits
    {
        Duration retention = std::chrono::minutes(10); ///< after the last store()
        std::size_t maxRecords = 100'000;              ///< above it the oldest one is dropped
    };

    explicit GenerationRecords(Limits limits);

    /// \brief Stores \a record; another request with the same body replaces the old one.
    ///
    /// Conflict: the key was used with another request body. Stale: a newer attempt of the same
    /// request is known.
    Result<Done> store(const GenerationRecord &record, TimePoint now);

    /// \brief NotFound if there is no record for this client account and key.
    Result<GenerationRecord> find(std::string_view account, std::string_view key) const;

    void expire(TimePoint now);
    std::size_t size() const { return m_byKey.size(); }

private:
    struct Entry
    {
        GenerationRecord record;
        TimePoint storedAt;
    };
    using Order = std::list<Entry>; ///< least recently stored first
    using Key = std::pair<std::string, std::string>;

    void dropOldest();

    Limits m_limits;
    Order m_order;
    std::map<Key, Order::iterator> m_byKey;
};

} // namespace foxtailring
