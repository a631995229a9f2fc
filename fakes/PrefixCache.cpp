#include "PrefixCache.h"

#include "foxtailring/protocol/KeyHash.h"

namespace foxtailring::fakes {

PrefixCache::PrefixCache(std::size_t capacityBlocks, std::function<void(const Change &)> onChange)
    : m_capacity(capacityBlocks)
    , m_onChange(std::move(onChange))
{
}

std::size_t PrefixCache::cachedChars(std::string_view prompt)
{
    std::size_t cached = 0;
    while (cached + blockChars <= prompt.size()
           && touch(keyHash(prompt.substr(0, cached + blockChars))))
        cached += blockChars;
    return cached;
}

void PrefixCache::store(std::string_view prompt)
{
    // A prompt longer than the cache would evict its own first blocks.
    const std::size_t blocks = std::min(prompt.size() / blockChars, m_capacity);
    for (std::size_t end = blockChars; end <= blocks * blockChars; end += blockChars) {
        const std::uint64_t hash = keyHash(prompt.substr(0, end));
        if (touch(hash))
            continue;
        if (m_blocks.size() == m_capacity)
            evictOldest();
        m_order.push_front({true, hash, end});
        m_blocks.emplace(hash, m_order.begin());
        m_onChange(m_order.front());
    }
}

std::size_t PrefixCache::blocks() const
{
    return m_blocks.size();
}

bool PrefixCache::touch(std::uint64_t prefixHash)
{
    const auto found = m_blocks.find(prefixHash);
    if (found == m_blocks.end())
        return false;
    m_order.splice(m_order.begin(), m_order, found->second);
    return true;
}

void PrefixCache::evictOldest()
{
    Change evicted = m_order.back();
    evicted.stored = false;
    m_blocks.erase(evicted.prefixHash);
    m_order.pop_back();
    m_onChange(evicted);
}

} // namespace foxtailring::fakes
