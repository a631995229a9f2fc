#include "foxtailring/decisions/placement/PrefixHints.h"

#include <algorithm>

namespace foxtailring {

PrefixHints::PrefixHints()
    : PrefixHints(Settings {})
{
}

PrefixHints::PrefixHints(Settings settings)
    : m_settings(settings)
{
}

void PrefixHints::record(std::string_view serverId, std::span<const std::uint64_t> prefixHashes,
                         TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    for (const std::uint64_t prefixHash : prefixHashes) {
        auto &hints = findOrCreate(prefixHash).hints;
        std::erase_if(hints, [&](const Hint &hint) {
            return hint.serverId == serverId || hint.validUntil <= now;
        });
        if (hints.size() >= m_settings.serversPerPrefix)
            hints.pop_back();
        hints.insert(hints.begin(), Hint {std::string(serverId), now + m_settings.hintLifetime});
    }
}

void PrefixHints::removeServer(std::string_view serverId)
{
    const std::lock_guard lock(m_mutex);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        std::erase_if(it->hints, [&](const Hint &hint) { return hint.serverId == serverId; });
        if (!it->hints.empty()) {
            ++it;
            continue;
        }
        m_index.erase(it->prefixHash);
        it = m_entries.erase(it);
    }
}

std::vector<std::string> PrefixHints::servers(std::uint64_t prefixHash, TimePoint now) const
{
    std::vector<std::string> ids;
    const std::lock_guard lock(m_mutex);
    const auto found = m_index.find(prefixHash);
    if (found == m_index.end())
        return ids;
    for (const Hint &hint : found->second->hints) {
        if (now < hint.validUntil)
            ids.push_back(hint.serverId);
    }
    return ids;
}

std::size_t PrefixHints::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

PrefixHints::Entry &PrefixHints::findOrCreate(std::uint64_t prefixHash)
{
    const auto found = m_index.find(prefixHash);
    if (found != m_index.end()) {
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return m_entries.front();
    }
    if (m_entries.size() >= m_settings.maxPrefixes) {
        m_index.erase(m_entries.back().prefixHash);
        m_entries.pop_back();
    }
    m_entries.push_front(Entry {prefixHash, {}});
    m_index.emplace(prefixHash, m_entries.begin());
    return m_entries.front();
}

} // namespace foxtailring
