#pragma once

#include <algorithm>
#include <memory>
#include <mutex>
#include <vector>

namespace foxtailring {

/// \brief The open connections of one server, held by weak references. Thread-safe.
template <typename Connection>
class ConnectionSet
{
public:
    void add(const std::shared_ptr<Connection> &connection)
    {
        const std::lock_guard lock(m_mutex);
        if (m_items.size() >= m_pruneAt)
            prune();
        m_items.push_back(connection);
    }

    std::vector<std::shared_ptr<Connection>> openConnections() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::shared_ptr<Connection>> open;
        for (const auto &item : m_items) {
            if (auto connection = item.lock())
                open.push_back(std::move(connection));
        }
        return open;
    }

private:
    // Pruning only after the set has doubled makes add() amortized O(1).
    void prune()
    {
        std::erase_if(m_items, [](const auto &item) { return item.expired(); });
        m_pruneAt = std::max(minPruneSize, 2 * m_items.size());
    }

    static constexpr std::size_t minPruneSize = 64;

    mutable std::mutex m_mutex;
    std::vector<std::weak_ptr<Connection>> m_items;
    std::size_t m_pruneAt = minPruneSize;
};

} // namespace foxtailring
